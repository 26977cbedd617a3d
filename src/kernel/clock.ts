/** Abstract clock. */

/** Source of the current time; tests use their own implementation. */
export abstract class Clock {
  /** Current time in milliseconds, since the epoch or, for a monotonic clock, since the start of the process. */
  abstract now(): number;
}
