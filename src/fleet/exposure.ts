/** How far a holder is ahead of what its backup has acknowledged. */
import type { Exposure } from '../budget/index.js';

/** Units of one budget that a holder may commit before its backup has acknowledged them. */
export const WINDOW_UNITS = 8_192;

/**
 * Opens the counters of a budget that has not been used.
 * @param budget - budget name
 * @returns counters at zero
 */
export function emptyExposure(budget: string): Exposure {
  return { budget, reservedTotal: 0, releasedTotal: 0, passed: 0 };
}

/**
 * Gives the units that a holder has ever committed.
 * @param exposure - counters of a budget
 * @returns reserved and lent units, which only grow
 */
export function committedUnits(exposure: Exposure): number {
  return exposure.reservedTotal + exposure.passed;
}

/**
 * Says whether a holder may go on before its backup has acknowledged more.
 * @param now - counters with the new commitment
 * @param acknowledged - units that the backup knows to be committed
 * @returns whether the holder is inside its window
 */
export function isWithinWindow(now: Exposure, acknowledged: number): boolean {
  return committedUnits(now) - acknowledged <= WINDOW_UNITS;
}
