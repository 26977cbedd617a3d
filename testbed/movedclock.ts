/** Clock that a test moves. */
import { Clock } from '../src/kernel/index.js';

/** Clock that the test moves. */
export class MovedClock extends Clock {
  /** Milliseconds. */
  at = 0;

  override now(): number {
    return this.at;
  }
}
