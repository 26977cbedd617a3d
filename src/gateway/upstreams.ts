/** Upstreams as they register themselves, and which of them may receive new work. */

/** One life of an upstream. */
export interface UpstreamRecord {
  readonly id: string;
  /** Start of this life, in Unix milliseconds; 0 where the upstream does not say. */
  readonly startedAt: number;
  readonly service: string;
  /** "IP:port"; another upstream may have it after this one has ended. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it works on at once. */
  readonly capacity: number;
  readonly isLeaving: boolean;
  /** Time for which it stays slow after its start, in milliseconds. */
  readonly warmupMs: number;
}

/**
 * Time for which an entry that vanished in an outage of the store stays in use, in milliseconds: most
 * live upstreams are back in the list by then, and one that did leave has had less work than the two
 * seconds that a leaving upstream may still get.
 */
const MISSING_GRACE_MS = 1_700;

/**
 * Time after the last sign of an outage in which an entry that vanishes may still have lapsed, in
 * milliseconds: below the time after which the store counts as undisturbed again.
 */
const LAPSE_WINDOW_MS = 1_800;

interface Entry {
  readonly record: UpstreamRecord;
  /** When the upstream was last heard of, in milliseconds. */
  readonly listedAt: number;
  /** When the missing entry stops being used, in milliseconds; undefined while it is listed. */
  readonly missingUntil: number | undefined;
}

/** Keeps the registered upstreams. */
export class UpstreamRegistry {
  readonly #entries = new Map<string, Entry>();

  #disturbedAt = Number.NEGATIVE_INFINITY;

  /**
   * Takes note that the store does not answer: entries that vanish now may have lapsed.
   * @param now - milliseconds
   */
  noteDisturbance(now: number): void {
    this.#disturbedAt = now;
  }

  /**
   * Takes note of an upstream that is listed.
   * @param record - the upstream
   * @param now - milliseconds
   */
  list(record: UpstreamRecord, now: number): void {
    this.#entries.set(record.id, { record, listedAt: now, missingUntil: undefined });
  }

  /**
   * Takes note of an upstream that is no longer listed. One that has registered again since the
   * outage, or had announced its leaving, is gone at once.
   * @param id - the upstream
   * @param now - milliseconds
   */
  unlist(id: string, now: number): void {
    const entry = this.#entries.get(id);
    if (!entry || entry.missingUntil !== undefined) return;
    const isOutage = now - this.#disturbedAt < LAPSE_WINDOW_MS;
    const mayHaveLapsed = isOutage && entry.listedAt < this.#disturbedAt;
    if (mayHaveLapsed && !entry.record.isLeaving)
      this.#entries.set(id, { ...entry, missingUntil: now + MISSING_GRACE_MS });
    else this.#entries.delete(id);
  }

  /**
   * Takes a complete list: upstreams that are not on it are missing.
   * @param records - every listed upstream
   * @param now - milliseconds
   */
  replace(records: readonly UpstreamRecord[], now: number): void {
    const listed = new Set(records.map(({ id }) => id));
    [...this.#entries.keys()].filter((id) => !listed.has(id)).forEach((id) => this.unlist(id, now));
    records.forEach((record) => this.list(record, now));
  }

  /**
   * Lists the upstreams of a service that may receive new work.
   * @param service - the service
   * @param now - milliseconds
   * @returns the upstreams
   */
  serving(service: string, now: number): readonly UpstreamRecord[] {
    return [...this.#entries.values()]
      .filter(({ missingUntil }) => missingUntil === undefined || missingUntil > now)
      .map(({ record }) => record)
      .filter((record) => record.service === service && !record.isLeaving);
  }

  /**
   * Says whether an upstream may still receive new work: asked again right before a send.
   * @param record - the upstream that was chosen
   * @param now - milliseconds
   * @returns whether this very life of it is still in use
   */
  mayReceive({ id, service, startedAt }: UpstreamRecord, now: number): boolean {
    return this.serving(service, now).some(
      (record) => record.id === id && record.startedAt === startedAt,
    );
  }

  /**
   * Lists all upstreams that are known.
   * @returns the upstreams, leaving and missing ones included
   */
  all(): readonly UpstreamRecord[] {
    return [...this.#entries.values()].map(({ record }) => record);
  }
}
