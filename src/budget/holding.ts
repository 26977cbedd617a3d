/**
 * Holding: one holder's escrow of a budget, with its demand and the last known state of the store.
 */
import { demandAt, emptyDemand, recordUse, recordWorstCase } from './demand.js';
import {
  available,
  emptyEscrow,
  receiveGrant,
  receiveLoan,
  reserve,
  returnUnits,
  settleReservation,
  totalOf,
} from './escrow.js';
import { fullTarget, idleUnits, isLow, targetUnits } from './sizing.js';

import type { Demand } from './demand.js';
import type { DrawAnswer, DrawRequest, HolderView } from './draw.js';
import type { Escrow } from './escrow.js';
import type { BudgetOutlook } from './sizing.js';

/** Delay before another background draw from a store without unallocated units, in milliseconds. */
const EMPTY_STORE_RETRY_MS = 5_000;

/** One holder's units of one budget. */
export interface Holding {
  readonly escrow: Escrow;
  readonly demand: Demand;
  readonly outlook: BudgetOutlook;
  /** Whether the store had unallocated units after the last draw. */
  readonly storeHasMore: boolean;
  /** Time of the store's last response to a draw, in milliseconds; 0 before the first one. */
  readonly drawnAt: number;
  /** Whether the stored rows include every loan and return of this holder. */
  readonly reported: boolean;
  readonly others: readonly HolderView[];
}

/**
 * Creates a holding without units.
 * @param budget - budget name
 * @param now - current time in milliseconds
 * @returns an empty holding
 */
export function emptyHolding(budget: string, now: number): Holding {
  return {
    escrow: emptyEscrow(budget),
    demand: emptyDemand(now),
    outlook: { unspent: 0, totalRate: 0 },
    storeHasMore: true,
    drawnAt: 0,
    reported: true,
    others: [],
  };
}

/**
 * Replaces the escrow after a loan or a return.
 * @param holding - the holding
 * @param escrow - its escrow
 * @returns the holding, marked as not yet reported to the store
 */
export function withEscrow(holding: Holding, escrow: Escrow): Holding {
  if (escrow === holding.escrow) return holding;
  return { ...holding, escrow, reported: false };
}

/** Result of a reservation. */
export interface Reservation {
  readonly holding: Holding;
  readonly accepted: boolean;
}

/**
 * Reserves the worst-case cost of a request.
 * @param holding - the holding
 * @param units - worst-case cost of the request
 * @param now - current time in milliseconds
 * @returns the holding, with the reservation if enough units were available
 */
export function reserveInHolding(holding: Holding, units: number, now: number): Reservation {
  const demand = recordWorstCase(holding.demand, units, now);
  const reserved = reserve(holding.escrow, units);
  if (reserved.err) return { holding: { ...holding, demand }, accepted: false };
  return { holding: { ...holding, demand, escrow: reserved.val }, accepted: true };
}

/**
 * Settles a reservation at the units that were used.
 * @param holding - the holding
 * @param reserved - units that were reserved
 * @param used - units that were used
 * @param now - current time in milliseconds
 * @returns the holding
 */
export function settleInHolding(
  holding: Holding,
  reserved: number,
  used: number,
  now: number,
): Holding {
  const escrow = settleReservation(holding.escrow, reserved, used);
  const demand = used > 0 ? recordUse(holding.demand, used, now) : holding.demand;
  return { ...holding, escrow, demand };
}

/**
 * Builds a draw request.
 * @param holding - the holding
 * @param self - incarnation of the holder
 * @param missing - units missing for a waiting request; 0 for a background refill
 * @param now - current time in milliseconds
 * @returns the request
 */
export function drawRequest(
  holding: Holding,
  self: string,
  missing: number,
  now: number,
): DrawRequest {
  const { budget, borrowed, passed, returned, granted } = holding.escrow;
  const demand = demandAt(holding.demand, now);
  const report = { holder: self, budget, borrowed, passed, returned, demand: demand.rate };
  return { report, granted, available: available(holding.escrow), missing, demand };
}

/**
 * Applies the answer to a draw.
 * @param holding - the holding, which may have changed since the request
 * @param request - the request
 * @param answer - the answer
 * @param now - current time in milliseconds
 * @returns the holding with the new grant, loans and state of the store
 */
export function applyDrawAnswer(
  holding: Holding,
  request: DrawRequest,
  answer: DrawAnswer,
  now: number,
): Holding {
  const granted = receiveGrant(holding.escrow, answer.granted);
  const escrow = answer.loans.reduce(receiveLoan, granted);
  const { borrowed, passed, returned } = escrow;
  const isUnchanged =
    totalOf(passed) === totalOf(request.report.passed) &&
    totalOf(borrowed) === totalOf(request.report.borrowed) &&
    returned === request.report.returned;
  return {
    ...holding,
    escrow,
    outlook: answer.outlook,
    storeHasMore: answer.left > 0,
    drawnAt: now,
    reported: isUnchanged && answer.reported,
    others: answer.others,
  };
}

/**
 * Returns the units that a holder lacks up to its target.
 * @param holding - the holding
 * @param now - current time in milliseconds
 * @returns units up to the target once the available units run low; 0 otherwise
 */
export function lackingUnits(holding: Holding, now: number): number {
  const target = targetUnits(demandAt(holding.demand, now), holding.outlook);
  const ready = available(holding.escrow);
  return isLow(ready, target) ? target - ready : 0;
}

/**
 * Returns whether more units should be drawn in the background.
 * @param holding - the holding
 * @param now - current time in milliseconds
 * @returns true once units run low, unless the last draw is recent and left the store without units
 */
export function needsDraw(holding: Holding, now: number): boolean {
  const elapsedMs = now - holding.drawnAt;
  if (!holding.storeHasMore && elapsedMs < EMPTY_STORE_RETRY_MS) return false;
  return lackingUnits(holding, now) > 0;
}

/**
 * Gives idle units back to the budget. The next report to the store includes them.
 * @param holding - the holding
 * @param now - current time in milliseconds
 * @returns the holding, reduced to its full target if it had more than twice as many units
 */
export function returnIdleUnits(holding: Holding, now: number): Holding {
  const target = fullTarget(demandAt(holding.demand, now));
  const idle = idleUnits(available(holding.escrow), target);
  if (idle <= 0) return holding;
  return withEscrow(holding, returnUnits(holding.escrow, idle));
}
