/**
 * Units that a daemon keeps of workspaces of which it is no holder, as plain data and pure functions. Answers the load of a
 * workspace whose callers come at few daemons that hold none of its units.
 */
import { available, demandAt, isLow } from '../budget/index.js';

import type { AllowanceHolding } from './holding.js';

/**
 * Use of its own requests for which a borrower keeps units, in seconds. They bridge the time in which links to the holders
 * fail, and spare most requests the wait for a loan.
 */
const BORROWED_SECONDS = 3;

/** Requests in that time below which it keeps none: a loan for each is cheaper than units that wait. */
const MIN_BORROWED_REQUESTS = 3;

/** Share of the unspent units of a workspace that one borrower keeps at most. */
const MAX_BORROWED_SHARE = 0.03;

/**
 * Computes the units that a daemon which borrows them keeps for its next requests. Answers the load of a workspace whose
 * callers come at few daemons that hold none of its units.
 * @param holding - the daemon's holding
 * @param unspent - unspent units of the workspace as last reported by a holder
 * @param now - current time in milliseconds
 * @returns units; few once the workspace has little left, so that all of it can be spent
 */
export function borrowedTarget({ demand }: AllowanceHolding, unspent: number, now: number): number {
  const { rate, meanUnits } = demandAt(demand, now);
  const expected = rate * BORROWED_SECONDS;
  if (expected < meanUnits * MIN_BORROWED_REQUESTS) return 0;
  return Math.floor(Math.min(expected, unspent * MAX_BORROWED_SHARE));
}

/**
 * Computes the units that a borrower should borrow now, before a request waits for them.
 * @param holding - the daemon's holding
 * @param unspent - unspent units of the workspace as last reported by a holder
 * @param now - current time in milliseconds
 * @returns units; 0 while it has enough
 */
export function borrowedShortfall(holding: AllowanceHolding, unspent: number, now: number): number {
  const target = borrowedTarget(holding, unspent, now);
  const ready = available(holding.escrow);
  return isLow(ready, target) ? target - ready : 0;
}
