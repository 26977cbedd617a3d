/** Holding: one holder's escrow of a budget with its demand and what the store last showed. */
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

/** Time before a store that had nothing left is asked again in the background, in milliseconds. */
const EMPTY_STORE_RETRY_MS = 5_000;

/** One holder's part of one budget. */
export interface Holding {
  readonly escrow: Escrow;
  readonly demand: Demand;
  readonly outlook: BudgetOutlook;
  /** Whether the store had units left at the last draw. */
  readonly storeHasMore: boolean;
  /** When the store last answered, in milliseconds; 0 for never. */
  readonly drawnAt: number;
  /** Whether the store knows every loan and return. */
  readonly reported: boolean;
  readonly others: readonly HolderView[];
}

/**
 * Opens a holding without units.
 * @param budget - budget name
 * @param now - milliseconds
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
 * @returns the holding; what changed hands has still to be reported
 */
export function withEscrow(holding: Holding, escrow: Escrow): Holding {
  if (escrow === holding.escrow) return holding;
  return { ...holding, escrow, reported: false };
}

/** Whether a reservation fitted. */
export interface Reservation {
  readonly holding: Holding;
  readonly accepted: boolean;
}

/**
 * Reserves the worst case of a request.
 * @param holding - the holding
 * @param units - worst case
 * @param now - milliseconds
 * @returns the holding, with the reservation if it fitted
 */
export function reserveInHolding(holding: Holding, units: number, now: number): Reservation {
  const demand = recordWorstCase(holding.demand, units, now);
  const reserved = reserve(holding.escrow, units);
  if (reserved.err) return { holding: { ...holding, demand }, accepted: false };
  return { holding: { ...holding, demand, escrow: reserved.val }, accepted: true };
}

/**
 * Settles a reservation.
 * @param holding - the holding
 * @param reserved - units that were reserved
 * @param used - units that were used
 * @param now - milliseconds
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
 * Builds what a holder asks of the store.
 * @param holding - the holding
 * @param self - incarnation of the holder
 * @param missing - units that a waiting request lacks; 0 in the background
 * @param now - milliseconds
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
 * Takes note of the store's answer.
 * @param holding - the holding, perhaps changed since the request
 * @param request - the request
 * @param answer - the answer
 * @param now - milliseconds
 * @returns the holding with what the store granted and showed
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
 * Gives the units that a holder lacks.
 * @param holding - the holding
 * @param now - milliseconds
 * @returns units up to its target once it runs low; 0 before
 */
export function lackingUnits(holding: Holding, now: number): number {
  const target = targetUnits(demandAt(holding.demand, now), holding.outlook);
  const ready = available(holding.escrow);
  return isLow(ready, target) ? target - ready : 0;
}

/**
 * Says whether more should be drawn before a request has to wait for it.
 * @param holding - the holding
 * @param now - milliseconds
 * @returns true once the units run low, unless the store has lately had none left
 */
export function needsDraw(holding: Holding, now: number): boolean {
  const elapsedMs = now - holding.drawnAt;
  if (!holding.storeHasMore && elapsedMs < EMPTY_STORE_RETRY_MS) return false;
  return lackingUnits(holding, now) > 0;
}

/**
 * Gives up the units that the holder does not need.
 * @param holding - the holding
 * @param now - milliseconds
 * @returns the holding; unchanged while it has no more than twice what it fills up to
 */
export function returnIdleUnits(holding: Holding, now: number): Holding {
  const target = fullTarget(demandAt(holding.demand, now));
  const idle = idleUnits(available(holding.escrow), target);
  if (idle <= 0) return holding;
  return withEscrow(holding, returnUnits(holding.escrow, idle));
}
