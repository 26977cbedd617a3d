/** Wall clock. */

/** Gives the time; tests pass a clock of their own. */
export abstract class Clock {
  /** Milliseconds since the epoch. */
  abstract now(): number;
}
