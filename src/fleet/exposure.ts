/** Limit on the units that a holder may commit before its backup acknowledges them. */
import type { Exposure } from '../budget/index.js';

/**
 * Maximum number of units of one budget that a holder may commit without acknowledgement by its
 * backup.
 */
export const WINDOW_UNITS = 8_192;

/**
 * Creates the counters of a budget that has not been used.
 * @param budget - budget name
 * @returns counters at zero
 */
export function emptyExposure(budget: string): Exposure {
  return { budget, reservedTotal: 0, releasedTotal: 0, passed: 0 };
}

/**
 * Returns the total units that a holder has committed.
 * @param exposure - counters of a budget
 * @returns all units ever reserved or lent; the total only grows
 */
export function committedUnits(exposure: Exposure): number {
  return exposure.reservedTotal + exposure.passed;
}

/**
 * Returns whether a holder may proceed before its backup acknowledges more.
 * @param now - counters including the new commitment
 * @param acknowledged - committed units that the backup has acknowledged
 * @returns whether the unacknowledged units are within the window
 */
export function isWithinWindow(now: Exposure, acknowledged: number): boolean {
  return committedUnits(now) - acknowledged <= WINDOW_UNITS;
}
