/** What upstreams announce in their answers, kept apart from their entries in the store. */

/** Identifies one incarnation of an upstream. */
export interface UpstreamIncarnation {
  readonly id: string;
  /** Start of this incarnation, in Unix milliseconds; 0 if the upstream does not report it. */
  readonly startedAt: number;
  /** "IP:port"; another upstream may reuse it after this one has ended. */
  readonly address: string;
}

/**
 * Time for which the announcements of an incarnation are remembered after its entry was removed, in milliseconds: an
 * entry that expired in a store outage may be registered again.
 */
const UNLISTED_MEMORY_MS = 60_000;

interface Announcement {
  /** When the incarnation was last known to be listed, in milliseconds. */
  readonly listedAt: number;
}

/**
 * Returns a key that differs between incarnations.
 * @param incarnation - incarnation of an upstream
 * @returns the key
 */
export function incarnationKey({ id, startedAt, address }: UpstreamIncarnation): string {
  return `${id} ${startedAt} ${address}`;
}

/** Remembers the announcements of each incarnation, whatever its entry in the store says. */
export class UpstreamSignals {
  readonly #leaving = new Map<string, Announcement>();

  /**
   * Records that an upstream has announced that it leaves.
   * @param incarnation - the upstream
   * @param now - current time, in milliseconds
   * @returns whether this was not known before
   */
  recordLeaving(incarnation: UpstreamIncarnation, now: number): boolean {
    const key = incarnationKey(incarnation);
    const isNew = !this.#leaving.has(key);
    this.#leaving.set(key, { listedAt: now });
    return isNew;
  }

  /**
   * Checks whether an upstream has announced that it leaves.
   * @param incarnation - the upstream
   * @returns whether this incarnation has announced it in an answer
   */
  isLeaving(incarnation: UpstreamIncarnation): boolean {
    return this.#leaving.has(incarnationKey(incarnation));
  }

  /**
   * Records which incarnations are listed, and forgets those that have not been listed for a while.
   * @param listed - every incarnation that is listed, or was until now
   * @param now - current time, in milliseconds
   */
  retain(listed: readonly UpstreamIncarnation[], now: number): void {
    listed.map(incarnationKey).forEach((key) => {
      if (this.#leaving.has(key)) this.#leaving.set(key, { listedAt: now });
    });
    this.#leaving.forEach(({ listedAt }, key) => {
      if (now - listedAt > UNLISTED_MEMORY_MS) this.#leaving.delete(key);
    });
  }
}
