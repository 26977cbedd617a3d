/** Index of the workers that probably have a prompt prefix in their cache. */

/** Maximum number of workers recorded for one prefix. */
const MAX_HOLDERS = 4;

/**
 * Maps prefixes to workers. Built from this daemon's own dispatches and from the engines' cache
 * events, which may be late and incomplete.
 */
export class CacheIndex {
  /** Worker names by prefix digest, the least recently added prefix first. */
  readonly #holders = new Map<number, readonly string[]>();

  /**
   * Creates an empty index.
   * @param capacity - maximum number of indexed prefixes
   */
  constructor(private readonly capacity: number) {}

  /** Number of indexed prefixes. */
  get size(): number {
    return this.#holders.size;
  }

  /**
   * Returns the workers that probably have a prefix cached.
   * @param digest - digest of the prefix
   * @returns worker names, the most recently recorded first
   */
  holders(digest: number): readonly string[] {
    return this.#holders.get(digest) ?? [];
  }

  /**
   * Records that a worker has cached prefixes.
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
   * Records that a worker has evicted prefixes.
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
