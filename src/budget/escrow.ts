/**
 * Escrow: the units that one holder may still spend from one budget, as plain data and pure
 * functions.
 */
import * as z from 'zod';

import { Err, failure, Ok } from '../kernel/index.js';

import type { Failure, Result } from '../kernel/index.js';

/** Schema of a counter of units lent between this holder and one peer; it only grows. */
export const peerCounterSchema = z
  .object({
    /** Incarnation of the peer. */
    peer: z.string(),
    units: z.number().int().nonnegative(),
  })
  .readonly();

/** Counter of units lent between this holder and one peer. */
export type PeerCounter = z.infer<typeof peerCounterSchema>;

/** Counters of a holder; all but "reserved" only grow. */
export interface Escrow {
  readonly budget: string;
  /** Total units drawn from the store. */
  readonly granted: number;
  /** Total units borrowed from other holders, by lender. */
  readonly borrowed: readonly PeerCounter[];
  /** Total units lent to other holders, by borrower. */
  readonly passed: readonly PeerCounter[];
  readonly spent: number;
  readonly returned: number;
  /** Sum of the worst-case costs of the requests in progress. */
  readonly reserved: number;
}

/**
 * Creates an escrow without units.
 * @param budget - budget name
 * @returns an empty escrow
 */
export function emptyEscrow(budget: string): Escrow {
  return { budget, granted: 0, borrowed: [], passed: [], spent: 0, returned: 0, reserved: 0 };
}

/**
 * Returns the sum of counters.
 * @param counters - counters of several peers
 * @returns units
 */
export function totalOf(counters: readonly PeerCounter[]): number {
  return counters.reduce((sum, { units }) => sum + units, 0);
}

/**
 * Returns the counter of one peer.
 * @param counters - counters of several peers
 * @param peer - incarnation of the peer
 * @returns units; 0 for a peer without a counter
 */
export function counterOf(counters: readonly PeerCounter[], peer: string): number {
  return counters.find((counter) => counter.peer === peer)?.units ?? 0;
}

/**
 * Raises the counter of one peer; a lower value is ignored.
 * @param counters - counters of several peers
 * @param next - received value of the counter
 * @returns the counters
 */
export function raiseCounter(
  counters: readonly PeerCounter[],
  next: PeerCounter,
): readonly PeerCounter[] {
  if (next.units <= counterOf(counters, next.peer)) return counters;
  return [...counters.filter(({ peer }) => peer !== next.peer), next];
}

/**
 * Returns the units that the holder can still reserve.
 * @param escrow - the escrow
 * @returns units
 */
export function available(escrow: Escrow): number {
  const totalReceived = escrow.granted + totalOf(escrow.borrowed);
  return totalReceived - totalOf(escrow.passed) - escrow.spent - escrow.returned - escrow.reserved;
}

/**
 * Reserves the worst-case cost of a request.
 * @param escrow - the escrow
 * @param units - worst-case cost of the request
 * @returns the escrow with the reservation, or a failure if too few units are available
 */
export function reserve(escrow: Escrow, units: number): Result<Escrow, Failure> {
  if (available(escrow) < units) return Err(failure('budget-exhausted', escrow.budget));
  return Ok({ ...escrow, reserved: escrow.reserved + units });
}

/**
 * Settles a reservation; the charge never exceeds the reserved units.
 * @param escrow - the escrow
 * @param reserved - units that were reserved
 * @param used - units that were used; 0 releases the reservation without a charge
 * @returns the escrow without the reservation
 */
export function settleReservation(escrow: Escrow, reserved: number, used: number): Escrow {
  const charged = Math.min(used, reserved);
  return {
    ...escrow,
    reserved: escrow.reserved - reserved,
    spent: escrow.spent + charged,
  };
}

/**
 * Records the total units that the store has granted.
 * @param escrow - the escrow
 * @param granted - total units drawn under the holder's row
 * @returns the escrow; an older counter changes nothing
 */
export function receiveGrant(escrow: Escrow, granted: number): Escrow {
  return granted > escrow.granted ? { ...escrow, granted } : escrow;
}

/**
 * Records the total units that another holder has lent.
 * @param escrow - the escrow
 * @param loan - lender and its counter of units lent to this holder
 * @returns the escrow; an older counter changes nothing
 */
export function receiveLoan(escrow: Escrow, loan: PeerCounter): Escrow {
  return { ...escrow, borrowed: raiseCounter(escrow.borrowed, loan) };
}

/**
 * Lends units to another holder.
 * @param escrow - the escrow
 * @param peer - incarnation of the borrower
 * @param units - units to lend
 * @returns the escrow; at most the available units are lent
 */
export function lendUnits(escrow: Escrow, peer: string, units: number): Escrow {
  const lent = Math.max(0, Math.min(units, available(escrow)));
  const next = { peer, units: counterOf(escrow.passed, peer) + lent };
  return { ...escrow, passed: raiseCounter(escrow.passed, next) };
}

/**
 * Gives units back to the budget. Only the local counters change; the next report to the store
 * includes the units.
 * @param escrow - the escrow
 * @param units - units to return
 * @returns the escrow; at most the available units are returned
 */
export function returnUnits(escrow: Escrow, units: number): Escrow {
  const freed = Math.max(0, Math.min(units, available(escrow)));
  return { ...escrow, returned: escrow.returned + freed };
}
