/** Holding: what one daemon may still spend for one workspace, as plain data and rules. */
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

/** How much a daemon keeps ready. */
export interface AllowancePolicy {
  /** Time that a daemon should be able to go on without store and peers, in seconds. */
  readonly aloneSeconds: number;
  /** Share of what is unspent that all daemons together keep ready, and lose if all of them die. */
  readonly exposure: number;
  /** Part of that share which they keep ready without any demand. */
  readonly idlePart: number;
  /** Daemons that share it. */
  readonly daemons: number;
  /** Time constant of the measured demand, in milliseconds. */
  readonly smoothingMs: number;
}

/** Multiple of the measured use that may come while a daemon is alone. */
const DEMAND_GROWTH_FACTOR = 1.25;

/** Deviations of the expected use that are kept besides; peers even out the rest. */
const SAFETY_DEVIATIONS = 0.5;

/** Age from which spending is reported even if it is small, in milliseconds. */
const REPORT_INTERVAL_MS = 6_000;

/** Share of what is unspent from which spending is reported at once. */
const REPORT_UNSPENT_FRACTION = 0.02;

/** Share of what is unspent from which idle units are given back at once. */
const RETURN_UNSPENT_FRACTION = 0.02;

/** Time for which a store that had nothing free is not asked again, in milliseconds: half of a refused caller's delay. */
const EMPTY_STORE_RETRY_MS = 500;

/** Least share of the smoothing that counts for a daemon's first requests: one is no trend. */
const MIN_SMOOTHING_WEIGHT = 0.6;

/** One daemon's part of one workspace. */
export interface AllowanceHolding {
  readonly escrow: Escrow;
  readonly demand: Demand;
  /** What the store last showed. */
  readonly view: AllowanceView | undefined;
  /** Units that the own row grants in the store, as far as is known. */
  readonly stored: number;
  /** Net spending as it was last written to the store. */
  readonly reported: number;
  /** When it was written, in milliseconds. */
  readonly reportedAt: number;
}

/**
 * Opens a holding without units.
 * @param workspace - the workspace
 * @param policy - how much is kept ready
 * @param now - milliseconds
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
 * Gives the units of the own row that are gone: spent or lent, less what others lent to this daemon.
 * Whatever a lender gave counts against the row of the lender.
 * @param escrow - the escrow
 * @returns units
 */
export function netSpent({ spent, passed, borrowed }: Escrow): number {
  return Math.max(0, spent + totalOf(passed) - totalOf(borrowed));
}

/**
 * Gives the units that the own row has to grant.
 * @param escrow - the escrow
 * @returns units
 */
export function rowGrant({ granted, returned }: Escrow): number {
  return granted - returned;
}

/**
 * Gives the units that a daemon should have ready.
 * @param holding - its holding
 * @param view - the workspace as the store shows it
 * @param policy - how much is kept ready
 * @param now - milliseconds
 * @returns units; towards the end of a budget its part of what is left
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
 * Says whether a daemon has a part in its row to look after.
 * @param holding - its holding
 * @returns whether the row grants units, here or in the store
 */
export function hasGrantedUnits({ escrow, stored }: AllowanceHolding): boolean {
  return rowGrant(escrow) > 0 || stored > 0;
}

/** What a daemon writes for one workspace, and what it gains by it. */
export interface AllowanceDraw {
  readonly line: AllowanceLine;
  /** Units that the written row grants in all. */
  readonly grant: number;
}

/**
 * Works out the next line of a daemon's row.
 * @param holding - its holding
 * @param view - the workspace as the store shows it
 * @param missing - units that a waiting request lacks; 0 for none
 * @param policy - how much is kept ready
 * @param now - milliseconds
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

/** Units of the own row that are more than twice what should be ready. */
function idleUnitsInRow({ escrow }: AllowanceHolding, target: number): number {
  return Math.min(idleUnits(available(escrow), target), rowGrant(escrow) - netSpent(escrow));
}

/**
 * Gives up units that other daemons may need more, before the store is told.
 * @param holding - the holding
 * @param policy - how much is kept ready
 * @param now - milliseconds
 * @returns the holding, smaller where it holds more than twice what it should
 */
export function returnIdleUnits(
  holding: AllowanceHolding,
  policy: AllowancePolicy,
  now: number,
): AllowanceHolding {
  const { escrow, view } = holding;
  if (!view) return holding;
  const idle = idleUnitsInRow(holding, readyTarget(holding, view, policy, now));
  return idle > 0 ? { ...holding, escrow: returnUnits(escrow, idle) } : holding;
}

/**
 * Takes note of a written line.
 * @param holding - the holding, perhaps changed since the line was worked out
 * @param draw - the line
 * @param view - what the store showed
 * @param now - milliseconds
 * @returns the holding with its grant
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
    stored: draw.grant,
    reported: draw.line.spent,
    reportedAt: now,
  };
}

/**
 * Says whether the store should be told and asked again.
 * @param holding - the holding
 * @param policy - how much is kept ready
 * @param now - milliseconds
 * @returns whether the units run low while some are free, or much was spent or became idle since
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
  // Units that were given up locally are free for others only once the store has been told.
  const givenUp = Math.max(0, stored - rowGrant(escrow));
  if (idleUnitsInRow(holding, target) + givenUp > view.unspent * RETURN_UNSPENT_FRACTION)
    return true;
  return view.free - rowGrant(escrow) > 0 && isLow(available(escrow), target);
}

/**
 * Says whether another draw would find nothing.
 * @param holding - the holding
 * @param now - milliseconds
 * @returns whether the store had no free units a moment ago
 */
export function isStoreKnownEmpty(
  { view, escrow, reportedAt }: AllowanceHolding,
  now: number,
): boolean {
  if (!view || now - reportedAt >= EMPTY_STORE_RETRY_MS) return false;
  return view.free - rowGrant(escrow) <= 0;
}

/** Whether a reservation fitted. */
export interface AllowanceReservation {
  readonly holding: AllowanceHolding;
  readonly accepted: boolean;
}

/**
 * Reserves the worst case of a request.
 * @param holding - the holding
 * @param units - worst case
 * @param now - milliseconds
 * @returns the holding, with the reservation if it fitted
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
 * Settles a reservation at what was used.
 * @param holding - the holding
 * @param reserved - units that were reserved
 * @param used - units that were used
 * @param now - milliseconds
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
 * Decides how much to lend to a daemon whose request would be refused otherwise.
 * @param ready - units that the lender can spare at most
 * @param missing - units that the request lacks
 * @param wanted - units that the borrower would like besides
 * @returns units: what is lacking as far as there is any, and a part of the rest
 */
export function loanUnits(ready: number, missing: number, wanted: number): number {
  if (ready <= 0) return 0;
  const needed = Math.min(ready, missing);
  return needed + Math.min(wanted, Math.floor((ready - needed) / 3));
}
