/** Mean of observations that count less with their age. */

/** Time in which what was learned from an answer loses most of its weight, in milliseconds. */
const LEARNED_MEMORY_MS = 6_000;

/** Number of answers that count as much as the assumption that an upstream is as usual. */
const ASSUMED_ANSWERS = 5;

/** Mean of a series of observations. */
export class FadingMean {
  #sum = 0;

  #count = 0;

  #at = Number.NEGATIVE_INFINITY;

  /**
   * Adds an observation.
   * @param value - its value
   * @param now - milliseconds
   */
  add(value: number, now: number): void {
    const kept = this.#kept(now);
    this.#sum = this.#sum * kept + value;
    this.#count = this.#count * kept + 1;
    this.#at = now;
  }

  /**
   * Returns the mean of the observations and of some more that are as assumed.
   * @param assumed - value of those
   * @param now - milliseconds
   * @returns the mean
   */
  meanBeside(assumed: number, now: number): number {
    const kept = this.#kept(now);
    const sum = this.#sum * kept + assumed * ASSUMED_ANSWERS;
    return sum / (this.#count * kept + ASSUMED_ANSWERS);
  }

  #kept(now: number): number {
    return this.#count === 0 ? 0 : Math.exp((this.#at - now) / LEARNED_MEMORY_MS);
  }
}
