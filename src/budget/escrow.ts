/** Escrow: what one holder may still spend from one budget, as plain data and rules. */
import { Err, failure, Ok } from '../kernel/index.js';

import type { Failure, Result } from '../kernel/index.js';

/** Counters of a holder; all but "reserved" only grow. */
export interface Escrow {
  readonly budget: string;
  readonly granted: number;
  /** Units lent to other holders. */
  readonly passed: number;
  readonly spent: number;
  readonly returned: number;
  /** Worst cases of the requests that are running. */
  readonly reserved: number;
}

/**
 * Opens an escrow without units.
 * @param budget - budget name
 * @returns an empty escrow
 */
export function emptyEscrow(budget: string): Escrow {
  return { budget, granted: 0, passed: 0, spent: 0, returned: 0, reserved: 0 };
}

/**
 * Gives what the holder may still reserve.
 * @param escrow - the escrow
 * @returns units
 */
export function available(escrow: Escrow): number {
  return escrow.granted - escrow.passed - escrow.spent - escrow.returned - escrow.reserved;
}

/**
 * Reserves the worst case of a request.
 * @param escrow - the escrow
 * @param units - worst case of the request
 * @returns the escrow with the reservation, or the failure if it does not fit
 */
export function reserve(escrow: Escrow, units: number): Result<Escrow, Failure> {
  if (available(escrow) < units) return Err(failure('budget-exhausted', escrow.budget));
  return Ok({ ...escrow, reserved: escrow.reserved + units });
}

/**
 * Settles a reservation at what was used, never above it.
 * @param escrow - the escrow
 * @param reserved - units that were reserved
 * @param used - units that were used; 0 releases the reservation
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
 * Takes note of the units that the store has granted in all.
 * @param escrow - the escrow
 * @param granted - counter of the holder's row
 * @returns the escrow; an older counter changes nothing
 */
export function receiveGrant(escrow: Escrow, granted: number): Escrow {
  return granted > escrow.granted ? { ...escrow, granted } : escrow;
}

/**
 * Gives back everything that is not spent, lent or reserved.
 * @param escrow - the escrow
 * @returns the escrow, which then has nothing available
 */
export function releaseAvailable(escrow: Escrow): Escrow {
  return { ...escrow, returned: escrow.returned + available(escrow) };
}
