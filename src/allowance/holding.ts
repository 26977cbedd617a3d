/**
 * Holding: the units that one daemon may still spend for one workspace, as plain data and pure
 * functions.
 */
import {
  available,
  demandAt,
  emptyEscrow,
  idleUnits,
  isLow,
  emptyDemand,
  recordUse,
  recordWorstCase,
  receiveGrant,
  reserve,
  returnUnits,
  settleReservation,
  totalOf,
} from '../budget/index.js';

import type { Demand, Escrow } from '../budget/index.js';
import type { AllowanceLine, AllowanceView } from './shard.js';

/** Determines how many units a daemon keeps available. */
export interface AllowancePolicy {
  /**
   * Time for which a daemon should be able to serve requests without the store and peers, in
   * seconds.
   */
  readonly aloneSeconds: number;
  /**
   * Fraction of the unspent units that all daemons together keep available; lost if all of them
   * crash.
   */
  readonly exposure: number;
  /** Part of that fraction that they keep available without any demand. */
  readonly idlePart: number;
  /** Number of daemons that divide the idle part among themselves. */
  readonly daemons: number;
  /** Time constant of the demand average, in milliseconds. */
  readonly smoothingMs: number;
}

/** Allowed growth of demand while a daemon has no contact with the store and peers, as a factor. */
const DEMAND_GROWTH_FACTOR = 1.25;

/**
 * Standard deviations of the expected use kept as a reserve; loans from peers cover larger
 * deviations.
 */
const SAFETY_DEVIATIONS = 0.5;

/** Maximum time before spending is reported to the store however small it is, in milliseconds. */
const REPORT_INTERVAL_MS = 6_000;

/** Fraction of the unspent units above which unreported spending is reported at once. */
const REPORT_UNSPENT_FRACTION = 0.02;

/** Fraction of the unspent units above which idle units are returned to the store at once. */
const RETURN_UNSPENT_FRACTION = 0.02;

/**
 * Delay before another draw from a store without free units, in milliseconds: half the retry delay
 * of a refused caller.
 */
const EMPTY_STORE_RETRY_MS = 500;

/** Minimum weight of a new demand average: a single request must not be taken for a trend. */
const MIN_SMOOTHING_WEIGHT = 0.6;

/** One daemon's units of one workspace. */
export interface AllowanceHolding {
  readonly escrow: Escrow;
  readonly demand: Demand;
  /** The workspace as of the last write to the store; undefined before the first one. */
  readonly view: AllowanceView | undefined;
  /** Units granted by this daemon's stored row, as of its last acknowledged write, also those that it may not use. */
  readonly stored: number;
  /** Net spending that was last written to the store. */
  readonly reported: number;
  /** Time of that write, in milliseconds. */
  readonly reportedAt: number;
}

/**
 * Creates a holding without units.
 * @param workspace - the workspace
 * @param policy - how many units are kept available
 * @param now - current time in milliseconds
 * @returns an empty holding
 */
export function openHolding(
  workspace: string,
  policy: AllowancePolicy,
  now: number,
): AllowanceHolding {
  const demand = emptyDemand(now, {
    smoothingMs: policy.smoothingMs,
    minWeight: MIN_SMOOTHING_WEIGHT,
  });
  return {
    escrow: emptyEscrow(workspace),
    demand,
    view: undefined,
    stored: 0,
    reported: 0,
    reportedAt: now,
  };
}

/**
 * Returns the units of this daemon's row that are used up: spent or lent units, minus units
 * borrowed from peers. Borrowed units count against the lender's row.
 * @param escrow - the escrow
 * @returns units
 */
export function netSpent({ spent, passed, borrowed }: Escrow): number {
  return Math.max(0, spent + totalOf(passed) - totalOf(borrowed));
}

/**
 * Returns the units that this daemon's row must grant.
 * @param escrow - the escrow
 * @returns units
 */
export function rowGrant({ granted, returned }: Escrow): number {
  return granted - returned;
}

/**
 * Returns the units that a daemon should have available.
 * @param holding - the daemon's holding
 * @param view - the workspace as the store shows it
 * @param policy - how many units are kept available
 * @param now - current time in milliseconds
 * @returns units; when few units remain, the daemon's share of them by demand
 */
export function readyTarget(
  holding: AllowanceHolding,
  view: AllowanceView,
  policy: AllowancePolicy,
  now: number,
): number {
  const demand = demandAt(holding.demand, now);
  const exposed = Math.max(0, view.unspent - netSpent(holding.escrow)) * policy.exposure;
  const total = demand.rate + view.othersRate;
  const share = total > 0 ? demand.rate / total : 0;
  const expected = demand.rate * policy.aloneSeconds;
  const full =
    expected * DEMAND_GROWTH_FACTOR + Math.sqrt(expected * demand.meanUnits) * SAFETY_DEVIATIONS;
  const idle = (exposed * policy.idlePart) / Math.max(1, policy.daemons);
  return Math.floor(Math.max(Math.min(full, exposed * share), idle));
}

/**
 * Returns whether a daemon's row grants units and must therefore be kept up to date.
 * @param holding - the daemon's holding
 * @returns whether the row grants units, in memory or in the store
 */
export function hasGrantedUnits({ escrow, stored }: AllowanceHolding): boolean {
  return rowGrant(escrow) > 0 || stored > 0;
}

/** A line to write for one workspace, and the grant that it results in. */
export interface AllowanceDraw {
  readonly line: AllowanceLine;
  /** Total units that the written row grants. */
  readonly grant: number;
}

/**
 * Computes the next line of a daemon's row.
 * @param holding - the daemon's holding
 * @param view - the workspace as the store shows it
 * @param missing - units missing for a waiting request; 0 for none
 * @param policy - how many units are kept available
 * @param now - current time in milliseconds
 * @returns the line to write
 */
export function buildRowLine(
  holding: AllowanceHolding,
  view: AllowanceView,
  missing: number,
  policy: AllowancePolicy,
  now: number,
): AllowanceDraw {
  const { escrow, demand } = holding;
  const ownGrant = rowGrant(escrow);
  const free = Math.max(0, view.free - ownGrant);
  const ready = available(escrow);
  const target = readyTarget(holding, view, policy, now);
  const shortfall = isLow(ready, target) ? target - ready : 0;
  const grant = ownGrant + Math.min(free, Math.max(missing, shortfall, 0));
  const spent = Math.min(grant, netSpent(escrow));
  const { rate } = demandAt(demand, now);
  return { line: { workspace: escrow.budget, granted: grant, spent, rate }, grant };
}

/** Returns the idle units that this daemon's own row can give up. */
function idleUnitsInRow({ escrow }: AllowanceHolding, target: number): number {
  return Math.min(idleUnits(available(escrow), target), rowGrant(escrow) - netSpent(escrow));
}

/**
 * Gives idle units back, so that other daemons can draw them. Called before the store is written:
 * the units must not be spent here once the store shows them as free.
 * @param holding - the holding
 * @param policy - how many units are kept available
 * @param now - current time in milliseconds
 * @param kept - units that a daemon which is no holder keeps for its next requests
 * @returns the holding, reduced to the target if it had more than twice the target
 */
export function returnIdleUnits(
  holding: AllowanceHolding,
  policy: AllowancePolicy,
  now: number,
  kept = 0,
): AllowanceHolding {
  const { escrow, view } = holding;
  if (!view) return holding;
  const idle = idleUnitsInRow(holding, Math.max(kept, readyTarget(holding, view, policy, now)));
  return idle > 0 ? { ...holding, escrow: returnUnits(escrow, idle) } : holding;
}

/**
 * Returns a view that shows no free units, so that a line written with it draws none.
 * @param view - the workspace as the store shows it
 * @param holding - the daemon's holding
 * @returns the view
 */
export function withoutFreeUnits(view: AllowanceView, { escrow }: AllowanceHolding): AllowanceView {
  return { ...view, free: Math.min(view.free, rowGrant(escrow)) };
}

/**
 * Gives up available units that other daemons may have drawn meanwhile: what the rows grant beyond the paid units.
 * @param holding - the daemon's holding
 * @param view - the workspace as the store shows it
 * @returns the holding without them, as far as they are neither spent, lent nor reserved
 */
export function returnExcess(holding: AllowanceHolding, view: AllowanceView): AllowanceHolding {
  const { escrow } = holding;
  const excess = Math.min(
    rowGrant(escrow) - Math.max(0, view.free),
    rowGrant(escrow) - netSpent(escrow),
    available(escrow),
  );
  return excess > 0 ? { ...holding, escrow: returnUnits(escrow, excess) } : holding;
}

/**
 * Applies a line that was written to the store.
 * @param holding - the holding, which may have changed since the line was computed
 * @param draw - the written line
 * @param view - the workspace as the store showed it
 * @param now - current time in milliseconds
 * @returns the holding with the new grant
 */
export function applyWrittenLine(
  holding: AllowanceHolding,
  draw: AllowanceDraw,
  view: AllowanceView,
  now: number,
): AllowanceHolding {
  const { escrow } = holding;
  const granted = draw.grant + escrow.returned;
  return {
    ...holding,
    escrow: receiveGrant(escrow, granted),
    view,
    stored: draw.line.granted,
    reported: draw.line.spent,
    reportedAt: now,
  };
}

/**
 * Returns whether the daemon should write its row again.
 * @param holding - the holding
 * @param policy - how many units are kept available
 * @param now - current time in milliseconds
 * @returns whether units run low while the store has free ones, or much was spent or became idle
 * since the last write
 */
export function needsDraw(
  holding: AllowanceHolding,
  policy: AllowancePolicy,
  now: number,
): boolean {
  const { view, escrow, stored, reported, reportedAt } = holding;
  if (!view) return true;
  const unreported = netSpent(escrow) - reported;
  const isDue =
    now - reportedAt > REPORT_INTERVAL_MS || unreported > view.unspent * REPORT_UNSPENT_FRACTION;
  if (unreported > 0 && isDue) return true;
  const target = readyTarget(holding, view, policy, now);
  // Units returned locally become available to other daemons only with the next write to the store.
  const givenUp = Math.max(0, stored - rowGrant(escrow));
  if (idleUnitsInRow(holding, target) + givenUp > view.unspent * RETURN_UNSPENT_FRACTION)
    return true;
  return view.free - rowGrant(escrow) > 0 && isLow(available(escrow), target);
}

/**
 * Returns whether another draw is unlikely to obtain units.
 * @param holding - the holding
 * @param now - current time in milliseconds
 * @returns whether the last write is recent and found no free units
 */
export function isStoreKnownEmpty(
  { view, escrow, reportedAt }: AllowanceHolding,
  now: number,
): boolean {
  if (!view || now - reportedAt >= EMPTY_STORE_RETRY_MS) return false;
  return view.free - rowGrant(escrow) <= 0;
}

/** Result of a reservation. */
export interface AllowanceReservation {
  readonly holding: AllowanceHolding;
  readonly accepted: boolean;
}

/**
 * Reserves the worst-case cost of a request.
 * @param holding - the holding
 * @param units - worst-case cost of the request
 * @param now - current time in milliseconds
 * @returns the holding, with the reservation if enough units were available
 */
export function reserveUnits(
  holding: AllowanceHolding,
  units: number,
  now: number,
): AllowanceReservation {
  const demand = recordWorstCase(holding.demand, units, now);
  const reserved = reserve(holding.escrow, units);
  const escrow = reserved.ok ? reserved.val : holding.escrow;
  return { holding: { ...holding, demand, escrow }, accepted: reserved.ok };
}

/**
 * Settles a reservation at the units that were used.
 * @param holding - the holding
 * @param reserved - units that were reserved
 * @param used - units that were used
 * @param now - current time in milliseconds
 * @returns the holding
 */
export function settleUnits(
  holding: AllowanceHolding,
  reserved: number,
  used: number,
  now: number,
): AllowanceHolding {
  const demand = used > 0 ? recordUse(holding.demand, used, now) : holding.demand;
  return { ...holding, demand, escrow: settleReservation(holding.escrow, reserved, used) };
}

/**
 * Computes the loan to a daemon that would otherwise refuse a request.
 * @param ready - maximum number of units that the lender can spare
 * @param missing - units missing for the request
 * @param wanted - further units that the borrower asks for
 * @returns units: the missing ones as far as available, and up to a third of the remaining ones
 */
export function loanUnits(ready: number, missing: number, wanted: number): number {
  if (ready <= 0) return 0;
  const needed = Math.min(ready, missing);
  return needed + Math.min(wanted, Math.floor((ready - needed) / 3));
}
