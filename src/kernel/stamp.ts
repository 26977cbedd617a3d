/** Hybrid logical clock: time stamps that order the events of all processes causally. */
import type { Clock } from './clock.js';

/** A hybrid logical time stamp. If one event causes another, its stamp is earlier. */
export interface Stamp {
  /** Milliseconds since the epoch; never less than in any stamp received or issued before. */
  readonly wall: number;
  /** Orders stamps with the same millisecond. */
  readonly count: number;
}

/**
 * Compares two stamps.
 * @param a - one stamp
 * @param b - another stamp
 * @returns a negative number when a is earlier, a positive one when it is later
 */
export function compareStamps(a: Stamp, b: Stamp): number {
  return a.wall - b.wall || a.count - b.count;
}

/** Issues increasing stamps, each later than all stamps of received messages. */
export class HybridClock {
  #last: Stamp = { wall: 0, count: 0 };

  /**
   * Creates the clock of one process.
   * @param clock - wall clock that it follows
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Issues the next stamp.
   * @returns a stamp later than every stamp issued or received before
   */
  next(): Stamp {
    const wall = this.clock.now();
    this.#last =
      wall > this.#last.wall
        ? { wall, count: 0 }
        : { wall: this.#last.wall, count: this.#last.count + 1 };
    return this.#last;
  }

  /**
   * Advances the clock to the stamp of a received message, if that is later.
   * @param stamp - stamp of the sender
   */
  observe(stamp: Stamp): void {
    if (compareStamps(stamp, this.#last) > 0) this.#last = stamp;
  }
}
