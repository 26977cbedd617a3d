/** Prefix cache of an engine stand-in, whose events are delayed and partly lost. */

/** Changes of the cache after a given sequence number. */
export interface CacheEvents {
  /** Sequence number of the last event. */
  readonly sequence: number;
  /** Digests that were added. */
  readonly stored: readonly number[];
  /** Digests that were evicted. */
  readonly evicted: readonly number[];
}

/** One change of the cache. */
interface CacheEvent {
  readonly sequence: number;
  /** Milliseconds since the epoch. */
  readonly at: number;
  readonly kind: 'stored' | 'evicted';
  readonly digest: number;
}

/** One in this many events is lost: it takes a sequence number but is never published. */
const LOST_EVENT_INTERVAL = 7;

/** Number of latest events that remain readable. */
const MAX_EVENTS = 2_000;

/** LRU cache of the digests of prompts. */
export class EngineCache {
  readonly #digests = new Map<number, true>();

  #events: readonly CacheEvent[] = [];

  #sequence = 0;

  /**
   * Creates an empty cache.
   * @param capacity - maximum number of digests
   * @param lagMs - delay until an event is published, in milliseconds
   */
  constructor(
    private readonly capacity: number,
    private readonly lagMs: number,
  ) {}

  /**
   * Looks up a prompt and stores its prefixes.
   * @param digests - digests of the prefixes, shortest first
   * @returns number of consecutive prefixes, from the shortest, that were cached before
   */
  lookUpAndStore(digests: readonly number[]): number {
    const missing = digests.findIndex((digest) => !this.#digests.has(digest));
    digests.forEach((digest) => {
      if (!this.#digests.delete(digest)) this.#publish('stored', digest);
      this.#digests.set(digest, true);
    });
    for (const digest of this.#digests.keys()) {
      if (this.#digests.size <= this.capacity) break;
      this.#digests.delete(digest);
      this.#publish('evicted', digest);
    }
    return missing < 0 ? digests.length : missing;
  }

  /**
   * Returns the events that are older than the delay.
   * @param after - sequence number of the last event that the reader knows
   * @returns later events; their sequence number is "after" if there are none
   */
  events(after: number): CacheEvents {
    const until = Date.now() - this.lagMs;
    const seen = this.#events.filter(({ sequence, at }) => sequence > after && at <= until);
    const digests = (kind: CacheEvent['kind']): readonly number[] =>
      seen.filter((event) => event.kind === kind).map(({ digest }) => digest);
    return {
      sequence: seen.at(-1)?.sequence ?? after,
      stored: digests('stored'),
      evicted: digests('evicted'),
    };
  }

  #publish(kind: CacheEvent['kind'], digest: number): void {
    this.#sequence += 1;
    if (this.#sequence % LOST_EVENT_INTERVAL === 0) return;
    const event = { sequence: this.#sequence, at: Date.now(), kind, digest };
    this.#events = [...this.#events.slice(-MAX_EVENTS), event];
  }
}
