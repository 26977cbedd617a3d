/** Which workers are thought to hold which prompt prefixes. */

/** Holders remembered for one prefix. */
const MAX_HOLDERS = 4;

/** Learned from own dispatches and from the engines' late and incomplete cache events. */
export class CacheIndex {
  /** In order of last use, the oldest first. */
  readonly #holders = new Map<number, readonly string[]>();

  /**
   * Creates an empty index.
   * @param capacity - prefixes that are remembered
   */
  constructor(private readonly capacity: number) {}

  /** Prefixes that are remembered. */
  get size(): number {
    return this.#holders.size;
  }

  /**
   * Gives the holders of a prefix.
   * @param digest - digest of the prefix
   * @returns names of workers, the latest first
   */
  holders(digest: number): readonly string[] {
    return this.#holders.get(digest) ?? [];
  }

  /**
   * Takes note that a worker holds prefixes.
   * @param worker - name of the worker
   * @param digests - digests of the prefixes
   */
  add(worker: string, digests: readonly number[]): void {
    digests.forEach((digest) => {
      const known = this.holders(digest);
      this.#holders.delete(digest);
      const holders = known[0] === worker ? known : [worker, ...known.filter((n) => n !== worker)];
      this.#holders.set(digest, holders.slice(0, MAX_HOLDERS));
    });
    this.#evict();
  }

  /**
   * Takes note that a worker has dropped prefixes.
   * @param worker - name of the worker
   * @param digests - digests of the prefixes
   */
  remove(worker: string, digests: readonly number[]): void {
    digests.forEach((digest) => {
      const remaining = this.holders(digest).filter((name) => name !== worker);
      if (remaining.length > 0) this.#holders.set(digest, remaining);
      else this.#holders.delete(digest);
    });
  }

  #evict(): void {
    for (const digest of this.#holders.keys()) {
      if (this.#holders.size <= this.capacity) return;
      this.#holders.delete(digest);
    }
  }
}
