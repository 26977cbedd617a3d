/** Sizing: how many units a holder should keep ready from one budget. */
import type { DemandRate } from './demand.js';

/** Time that a holder can go on serving alone, in seconds. */
export const ALONE_SECONDS = 1_800;

/** Multiple of the present use that may come while serving alone: traffic rises and falls. */
const DEMAND_GROWTH_FACTOR = 1.5;

/** Deviations of the expected use that are kept on top of it. */
const SAFETY_DEVIATIONS = 3;

/** Largest worst cases that are kept on top, so that a burst does not wait. */
const BURST_REQUESTS = 4;

/** Multiple of the units for serving alone that a draw fills up to. */
const FILL_FACTOR = 4 / 3;

/** Share of the target below which more is drawn in the background: what serving alone takes. */
const LOW_WATER_FRACTION = 1 / FILL_FACTOR;

/** Multiple of the target above which units are idle. */
const IDLE_FACTOR = 2;

/** What sizing needs to know of a budget, as the store last showed it. */
export interface BudgetOutlook {
  /** Units that are not spent, wherever they are held. */
  readonly unspent: number;
  /** Demand of all holders together, in units a second, this one included. */
  readonly totalRate: number;
}

/**
 * Gives the units that a holder needs to serve alone for a while.
 * @param demand - its demand
 * @returns units: expected use, its deviation, and a burst
 */
export function aloneReserve(demand: DemandRate): number {
  const expected = demand.rate * ALONE_SECONDS * DEMAND_GROWTH_FACTOR;
  const deviation = Math.sqrt(2 * expected * demand.meanUnits);
  return Math.ceil(expected + SAFETY_DEVIATIONS * deviation + BURST_REQUESTS * demand.largest);
}

/**
 * Gives the units that a draw fills up to while the budget has plenty.
 * @param demand - demand of the holder
 * @returns units
 */
export function fullTarget(demand: DemandRate): number {
  return Math.ceil(aloneReserve(demand) * FILL_FACTOR);
}

/**
 * Gives the units that a holder should have available.
 * Towards the end of a budget that is its part of what is left, by demand.
 * @param demand - its demand
 * @param outlook - the budget as the store last showed it
 * @returns units
 */
export function targetUnits(demand: DemandRate, outlook: BudgetOutlook): number {
  const share = outlook.totalRate > 0 ? Math.min(1, demand.rate / outlook.totalRate) : 1;
  return Math.floor(Math.min(fullTarget(demand), outlook.unspent * share));
}

/**
 * Says whether more should be drawn in the background.
 * @param availableUnits - what the holder can still reserve
 * @param target - units that it should have
 * @returns true once a draw is worth its call
 */
export function isLow(availableUnits: number, target: number): boolean {
  return availableUnits < target * LOW_WATER_FRACTION;
}

/**
 * Gives the units that a holder need not keep.
 * @param availableUnits - what the holder can still reserve
 * @param target - units that it should have
 * @returns units above the target, once there are twice as many; 0 before
 */
export function idleUnits(availableUnits: number, target: number): number {
  return availableUnits > target * IDLE_FACTOR ? availableUnits - target : 0;
}
