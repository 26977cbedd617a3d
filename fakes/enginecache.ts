/** Prefix cache of an engine stand-in, whose events come late and with gaps. */

/** Events since a sequence. */
export interface CacheEvents {
  readonly sequence: number;
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}

/** One published change. */
interface CacheEvent {
  readonly sequence: number;
  readonly at: number;
  readonly kind: 'stored' | 'evicted';
  readonly digest: number;
}

/** Every so many events one is lost. */
const LOST_EVENT_INTERVAL = 7;

/** Events that are kept. */
const MAX_EVENTS = 2_000;

/** Keeps the digests of prompts, the least recently used one leaving first. */
export class EngineCache {
  readonly #digests = new Map<number, true>();

  #events: readonly CacheEvent[] = [];

  #sequence = 0;

  /**
   * Creates an empty cache.
   * @param capacity - digests that it keeps
   * @param lagMs - delay of its events in milliseconds
   */
  constructor(
    private readonly capacity: number,
    private readonly lagMs: number,
  ) {}

  /**
   * Looks a prompt up and keeps it.
   * @param digests - digests of its prefixes, the shortest first
   * @returns prefixes that were cached
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
   * Gives the events that are old enough to be seen.
   * @param after - sequence of the last known event
   * @returns the later ones
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
