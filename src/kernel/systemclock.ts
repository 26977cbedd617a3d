/** Wall clock. */
import { Clock } from './clock.js';

/** Wall clock of the operating system, in milliseconds since the epoch; it may jump. */
export class SystemClock extends Clock {
  override now(): number {
    return Date.now();
  }
}
