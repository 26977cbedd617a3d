/** Request rates of prompt prefixes; a frequent prefix is distributed over several workers. */

/** Time constant of the moving average, in milliseconds. */
const AVERAGING_MS = 1_000;

/** Maximum number of prefixes that are counted; the least recently counted one is evicted. */
const MAX_PREFIXES = 5_000;

/** Exponentially decaying request count of one prefix. */
interface DecayedCount {
  readonly count: number;
  readonly at: number;
}

/** Counts the requests that one daemon has dispatched, by prefix. */
export class PrefixRates {
  readonly #counts = new Map<number, DecayedCount>();

  /**
   * Counts a request with a prefix and returns the rate of the prefix before it.
   * @param digest - digest of the prefix
   * @param now - time in milliseconds
   * @returns requests per second at this daemon, without this request
   */
  count(digest: number, now: number): number {
    const known = this.#counts.get(digest);
    const count = known ? known.count * Math.exp((known.at - now) / AVERAGING_MS) : 0;
    this.#counts.delete(digest);
    this.#counts.set(digest, { count: count + 1, at: now });
    if (this.#counts.size > MAX_PREFIXES) {
      const [oldest] = this.#counts.keys();
      if (oldest !== undefined) this.#counts.delete(oldest);
    }
    return (count * 1_000) / AVERAGING_MS;
  }
}
