/** The steady clock: it never jumps, so it measures durations. */
import { Clock } from './clock.js';

/** Milliseconds since the start of the process. */
export class SteadyClock extends Clock {
  override now(): number {
    return performance.now();
  }
}
