/** Remembers when each of the most recent keys was last seen. */

/** Times by key in two generations: a full generation takes the place of the one before it. */
export class RecentTimes {
  #current = new Map<string, number>();

  #previous: ReadonlyMap<string, number> = new Map();

  /**
   * Creates an empty memory.
   * @param most - number of keys that are remembered at most; half of them at least, once there were so many
   */
  constructor(private readonly most: number) {}

  /**
   * Returns when a key was last seen.
   * @param key - the key
   * @returns the time that was set last; undefined if the key is not remembered
   */
  get(key: string): number | undefined {
    return this.#current.get(key) ?? this.#previous.get(key);
  }

  /**
   * Records that a key was seen.
   * @param key - the key
   * @param at - when it was seen
   */
  set(key: string, at: number): void {
    this.#current.set(key, at);
    if (this.#current.size < this.most / 2) return;
    this.#previous = this.#current;
    this.#current = new Map();
  }
}
