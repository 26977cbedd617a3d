/** Rates of prompt prefixes, so that one that is asked for everywhere gets several homes. */

/** Time over which a rate is averaged, in milliseconds. */
const AVERAGING_MS = 1_000;

/** Prefixes that are counted. */
const MAX_PREFIXES = 5_000;

/** Decaying count of one prefix. */
interface DecayedCount {
  readonly count: number;
  readonly at: number;
}

/** Counts the prefixes that one daemon has sent. */
export class PrefixRates {
  readonly #counts = new Map<number, DecayedCount>();

  /**
   * Gives the rate of a prefix and counts one more.
   * @param digest - digest of the prefix
   * @param now - time in milliseconds
   * @returns requests a second at this daemon before this one
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
