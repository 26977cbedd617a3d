/** Monotonic clock, which is not affected by changes of the system time and so can measure durations. */
import { Clock } from './clock.js';

/** Clock that gives the milliseconds since the start of the process. */
export class SteadyClock extends Clock {
  override now(): number {
    return performance.now();
  }
}
