/** Registered upstreams, and which of them may receive new requests. */

/** One incarnation of an upstream. */
export interface UpstreamRecord {
  readonly id: string;
  /** Start of this incarnation, in Unix milliseconds; 0 if the upstream does not report it. */
  readonly startedAt: number;
  readonly service: string;
  /** "IP:port"; another upstream may reuse it after this one has ended. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it processes concurrently. */
  readonly capacity: number;
  readonly isLeaving: boolean;
  /** Time for which it stays slow after its start, in milliseconds. */
  readonly warmupMs: number;
}

/**
 * Time for which an entry that was removed during a store outage stays in use, in milliseconds. By then most
 * live upstreams have registered again. It is below the two seconds for which an upstream that has left may
 * still be sent requests.
 */
const MISSING_GRACE_MS = 1_700;

/**
 * Time after the last sign of a store outage in which a removal may still be an expiry that the outage caused,
 * in milliseconds: below the two seconds after which a removal counts at once again.
 */
const LAPSE_WINDOW_MS = 1_800;

interface Entry {
  readonly record: UpstreamRecord;
  /** When the upstream was last listed in the store, in milliseconds. */
  readonly listedAt: number;
  /**
   * Time until which a missing entry stays in use, in milliseconds; undefined while it is listed.
   */
  readonly missingUntil: number | undefined;
}

/**
 * Keeps the registered upstreams, and for a while those whose entries expired in a store outage.
 */
export class UpstreamRegistry {
  readonly #entries = new Map<string, Entry>();

  #disturbedAt = Number.NEGATIVE_INFINITY;

  /**
   * Records that the store does not answer: entries that are removed now may have expired because of it.
   * @param now - current time, in milliseconds
   */
  noteDisturbance(now: number): void {
    this.#disturbedAt = now;
  }

  /**
   * Records an upstream that is listed in the store.
   * @param record - the upstream
   * @param now - current time, in milliseconds
   */
  list(record: UpstreamRecord, now: number): void {
    this.#entries.set(record.id, { record, listedAt: now, missingUntil: undefined });
  }

  /**
   * Records an upstream that is no longer listed. It is removed at once if it has registered again since the
   * outage or had announced that it leaves.
   * @param id - the upstream
   * @param now - current time, in milliseconds
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
   * Applies a complete list: upstreams that are not on it are no longer listed.
   * @param records - every listed upstream
   * @param now - current time, in milliseconds
   */
  replace(records: readonly UpstreamRecord[], now: number): void {
    const listed = new Set(records.map(({ id }) => id));
    [...this.#entries.keys()].filter((id) => !listed.has(id)).forEach((id) => this.unlist(id, now));
    records.forEach((record) => this.list(record, now));
  }

  /**
   * Lists the upstreams of a service that may receive new requests.
   * @param service - the service
   * @param now - current time, in milliseconds
   * @returns the upstreams
   */
  serving(service: string, now: number): readonly UpstreamRecord[] {
    return [...this.#entries.values()]
      .filter(({ missingUntil }) => missingUntil === undefined || missingUntil > now)
      .map(({ record }) => record)
      .filter((record) => record.service === service && !record.isLeaving);
  }

  /**
   * Checks whether an upstream may still receive a request; called again right before it is sent.
   * @param record - the upstream that was chosen
   * @param now - current time, in milliseconds
   * @returns whether the same incarnation may still receive requests
   */
  mayReceive({ id, service, startedAt }: UpstreamRecord, now: number): boolean {
    return this.serving(service, now).some(
      (record) => record.id === id && record.startedAt === startedAt,
    );
  }

  /**
   * Lists all known upstreams.
   * @returns the upstreams, leaving and missing ones included
   */
  all(): readonly UpstreamRecord[] {
    return [...this.#entries.values()].map(({ record }) => record);
  }
}
