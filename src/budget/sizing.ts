/** Sizing: computes how many units of a budget a holder should have available. */
import type { DemandRate } from './demand.js';

/** Time for which a holder should be able to serve without the store and peers, in seconds. */
export const ALONE_SECONDS = 1_800;

/** Allowed growth of demand during that time, as a factor, because traffic varies. */
const DEMAND_GROWTH_FACTOR = 1.5;

/** Standard deviations of the expected use that are kept in addition to it. */
const SAFETY_DEVIATIONS = 3;

/**
 * Number of requests at the largest worst-case cost kept in addition, so that a burst need not
 * wait.
 */
const BURST_REQUESTS = 4;

/** Target of a draw, as a multiple of the units needed to serve without the store and peers. */
const FILL_FACTOR = 4 / 3;

/**
 * Fraction of the target below which units are drawn in the background; at this level of the
 * full target, the units just suffice to serve without the store and peers.
 */
const LOW_WATER_FRACTION = 1 / FILL_FACTOR;

/** Factor on the target above which units count as idle. */
const IDLE_FACTOR = 2;

/** State of a budget that sizing depends on, as the store last showed it. */
export interface BudgetOutlook {
  /** Unspent units, whether allocated to a holder or not. */
  readonly unspent: number;
  /** Combined demand of all holders, including this one, in units per second. */
  readonly totalRate: number;
}

/**
 * Returns the units that a holder needs to serve requests for a time without the store and peers.
 * @param demand - demand of the holder
 * @returns units: the expected use, a multiple of its standard deviation, and a burst of large
 * requests
 */
export function aloneReserve(demand: DemandRate): number {
  const expected = demand.rate * ALONE_SECONDS * DEMAND_GROWTH_FACTOR;
  const deviation = Math.sqrt(2 * expected * demand.meanUnits);
  return Math.ceil(expected + SAFETY_DEVIATIONS * deviation + BURST_REQUESTS * demand.largest);
}

/**
 * Returns the units that a draw fills up to while the budget has enough.
 * @param demand - demand of the holder
 * @returns units
 */
export function fullTarget(demand: DemandRate): number {
  return Math.ceil(aloneReserve(demand) * FILL_FACTOR);
}

/**
 * Returns the units that a holder should have available.
 * When few units remain in the budget, this is the holder's share of them, by demand.
 * @param demand - demand of the holder
 * @param outlook - the budget as the store last showed it
 * @returns units
 */
export function targetUnits(demand: DemandRate, outlook: BudgetOutlook): number {
  const share = outlook.totalRate > 0 ? Math.min(1, demand.rate / outlook.totalRate) : 1;
  return Math.floor(Math.min(fullTarget(demand), outlook.unspent * share));
}

/**
 * Returns whether more units should be drawn in the background.
 * @param availableUnits - units that the holder can still reserve
 * @param target - units that it should have available
 * @returns whether the available units are below the low-water mark
 */
export function isLow(availableUnits: number, target: number): boolean {
  return availableUnits < target * LOW_WATER_FRACTION;
}

/**
 * Returns the idle units of a holder.
 * @param availableUnits - units that the holder can still reserve
 * @param target - units that it should have available
 * @returns units above the target, if more than twice the target is available; 0 otherwise
 */
export function idleUnits(availableUnits: number, target: number): number {
  return availableUnits > target * IDLE_FACTOR ? availableUnits - target : 0;
}
