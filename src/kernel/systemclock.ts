/** The clock of the operating system. */
import { Clock } from './clock.js';

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override now(): number {
    return Date.now();
  }
}
