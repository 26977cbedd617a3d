/** Registered upstreams, and the decision which of them may receive new requests. */
import { isAllowedIn } from './homes.js';
import { UpstreamLimits } from './upstreamlimits.js';
import { UpstreamSignals } from './upstreamsignals.js';
import { Warmups } from './warmups.js';

import type { Regions } from './homes.js';
import type { LeftUpstream } from './startnews.js';
import type { UpstreamSupply } from './shortage.js';
import type { UpstreamIncarnation } from './upstreamsignals.js';

/** One incarnation of an upstream. */
export interface UpstreamRecord extends UpstreamIncarnation {
  readonly service: string;
  readonly dataCentre: string;
  /** Requests that it processes concurrently. */
  readonly capacity: number;
  /** Whether its entry announces that it leaves. */
  readonly isLeaving: boolean;
  /** Remaining warm-up time after its start, as stated in its entry, in milliseconds; it is slow if above 0. */
  readonly warmupMs: number;
}

/**
 * Time for which an upstream stays in use after its entry was removed during a store outage, in milliseconds.
 * By then most running upstreams have registered again. It must be below two seconds, as requests may be sent
 * to an upstream for at most that long after it has left.
 */
const MISSING_GRACE_MS = 1_700;

/**
 * Time after the last sign of a store outage in which the removal of an entry may still be an expiry that the
 * outage caused, in milliseconds. It must be below two seconds: from then on, an upstream must be taken out of
 * use as soon as its entry is removed.
 */
const LAPSE_WINDOW_MS = 1_800;

/**
 * Time for which an entry is doubted that a copy of the store shows, in milliseconds, if the upstream leaves or has left:
 * by then it, or the platform, has written again what it wrote after the copy was made.
 */
const DOUBT_MS = 5_000;

/** Time for which removed upstreams are remembered, in milliseconds: above the age of a copy. */
const LEFT_MEMORY_MS = 60_000;

/** Maximum number of these that another daemon is told. */
const MAX_TOLD = 500;

interface Entry {
  readonly record: UpstreamRecord;
  /** When the upstream was last listed in the store, in milliseconds. */
  readonly listedAt: number;
  /**
   * Time until which the upstream stays in use although its entry was removed, in milliseconds; undefined
   * while it is listed.
   */
  readonly missingUntil: number | undefined;
  /** Time until which an entry that a copy of the store shows counts as leaving, in milliseconds. */
  readonly doubtedUntil?: number;
}

/**
 * Keeps the registered upstreams, and for a grace period those whose entries may have expired because of a
 * store outage.
 */
export class UpstreamRegistry {
  readonly #entries = new Map<string, Entry>();

  /** Incarnations that were removed, or that other daemons have seen leaving, and until when that is remembered. */
  readonly #left = new Map<string, { readonly startedAt: number; readonly until: number }>();

  /** Announcements in answers. They stay in force whatever the entries in the store say. */
  readonly signals = new UpstreamSignals();

  /** Limits that the upstreams name, in force in the same way. */
  readonly limits = new UpstreamLimits();

  /** Upstreams that are cold. */
  readonly warmups = new Warmups(this.limits);

  /** Checks whether a data centre is evacuated; by default none is. */
  isEvacuated: (dataCentre: string, now: number) => boolean = () => false;

  /** Region of each data centre. */
  regions: Regions = {};

  /** Time of the last sign of a store outage, in milliseconds. */
  #disturbedAt = Number.NEGATIVE_INFINITY;

  /**
   * Records the start or the end of a store outage. The registration of an upstream that is removed soon
   * afterwards may have expired only because it could not be renewed.
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
    this.#left.delete(record.id);
    this.#entries.set(record.id, { record, listedAt: now, missingUntil: undefined });
    this.warmups.noteEntry(record, now);
  }

  /**
   * Handles an upstream that is no longer listed. It is kept for a grace period if its registration may have
   * expired because of a recent store outage: it was last listed before the last sign of that outage and had not
   * announced that it leaves. Otherwise it is removed at once.
   * @param id - the upstream
   * @param now - current time, in milliseconds
   */
  unlist(id: string, now: number): void {
    const entry = this.#entries.get(id);
    if (!entry || entry.missingUntil !== undefined) return;
    this.signals.retain([entry.record], now);
    this.limits.retain([entry.record], now);
    const isOutage = now - this.#disturbedAt < LAPSE_WINDOW_MS;
    const mayHaveLapsed = isOutage && entry.listedAt < this.#disturbedAt;
    if (mayHaveLapsed && !this.isLeaving(entry.record))
      this.#entries.set(id, { ...entry, missingUntil: now + MISSING_GRACE_MS });
    else {
      this.#entries.delete(id);
      this.#left.set(id, { startedAt: entry.record.startedAt, until: now + LEFT_MEMORY_MS });
    }
  }

  /**
   * Applies a complete list that may be from an older copy of the store: upstreams that it shows as serving and that leave
   * or have left stay out of use for a while. They are used at once if they are listed anew.
   * @param records - every listed upstream
   * @param now - current time, in milliseconds
   * @returns the ids of the doubted upstreams
   */
  replaceFromCopy(records: readonly UpstreamRecord[], now: number): readonly string[] {
    const doubted = records.filter((record) => !record.isLeaving && this.#hasLeft(record, now));
    this.replace(records, now);
    doubted.forEach((record) => this.#doubt(record, now));
    return doubted.map(({ id }) => id);
  }

  /**
   * Lists the incarnations that leave or have left, for daemons that start.
   * @param now - current time, in milliseconds
   * @returns the incarnations
   */
  left(now: number): readonly LeftUpstream[] {
    const leaving = this.all().filter((record) => this.#isOut(record, now));
    const removed = [...this.#left].filter(([, { until }]) => until > now);
    return [
      ...leaving.map(({ id, startedAt }) => ({ id, startedAt })),
      ...removed.map(([id, { startedAt }]) => ({ id, startedAt })),
    ].slice(0, MAX_TOLD);
  }

  /**
   * Takes over which upstreams leave or have left, from daemons that were there before.
   * @param left - their incarnations
   * @param now - current time, in milliseconds
   */
  hearLeft(left: readonly LeftUpstream[], now: number): void {
    left.forEach(({ id, startedAt }) => {
      this.#left.set(id, { startedAt, until: now + LEFT_MEMORY_MS });
      const record = this.#entries.get(id)?.record;
      if (record && !record.isLeaving && record.startedAt === startedAt) this.#doubt(record, now);
    });
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
   * Checks whether an upstream has announced that it leaves.
   * @param record - the upstream
   * @returns whether its entry or one of its answers announces it
   */
  isLeaving(record: UpstreamRecord): boolean {
    return record.isLeaving || this.signals.isLeaving(record);
  }

  /**
   * Takes the upstreams of a data centre for cold, as they may be at the end of its evacuation.
   * @param dataCentre - the data centre
   * @param now - current time, in milliseconds
   */
  suspectCold(dataCentre: string, now: number): void {
    this.all()
      .filter((record) => record.dataCentre === dataCentre)
      .forEach((record) => this.warmups.suspect(record, 'evacuated', now));
  }

  /**
   * Lists the upstreams of a service that may receive new requests.
   * @param service - the service
   * @param now - current time, in milliseconds
   * @param allowed - regions of the upstreams; default any
   * @returns the upstreams that are listed or within their grace period, without leaving, evacuated and paused ones, and
   * those that name a limit and have no permits left
   */
  serving(service: string, now: number, allowed?: readonly string[]): readonly UpstreamRecord[] {
    return this.#registered(service, now, allowed).filter(
      (record) =>
        !this.isEvacuated(record.dataCentre, now) &&
        !this.#isPaused(record, now) &&
        !this.limits.isHeld(record, now),
    );
  }

  /**
   * Counts the upstreams of a service that are in use, including paused and limited ones.
   * @param service - the service
   * @param now - current time, in milliseconds
   * @param allowed - regions of the upstreams; default any
   * @returns their numbers, and when the first may receive requests again
   */
  supply(service: string, now: number, allowed?: readonly string[]): UpstreamSupply {
    const listed = this.#registered(service, now, allowed);
    const registered = listed.filter(({ dataCentre }) => !this.isEvacuated(dataCentre, now));
    const paused = registered.filter((record) => this.#isPaused(record, now));
    const limited = registered.filter((record) => this.limits.allowanceOf(record, now));
    const unavailable = new Set([...paused, ...limited]);
    const waits = [...unavailable].map((record) =>
      Math.max(this.signals.pausedUntil(record) - now, this.limits.heldMs(record, now)),
    );
    const areAllUnavailable = waits.length > 0 && waits.length === registered.length;
    return {
      registered: registered.length,
      paused: paused.length,
      limited: limited.length,
      ...(listed.length > registered.length && { evacuated: listed.length - registered.length }),
      pauseEndsInMs: areAllUnavailable ? Math.min(...waits) : undefined,
    };
  }

  /**
   * Checks whether an upstream may still receive a request. Called again right before the request is sent.
   * @param record - the upstream that was chosen
   * @param now - current time, in milliseconds
   * @param permittedUntil - time until which a permit for the request is valid, in milliseconds; default no permit
   * @returns whether the same incarnation may still receive the request
   */
  mayReceive(
    record: UpstreamRecord,
    now: number,
    permittedUntil = Number.NEGATIVE_INFINITY,
  ): boolean {
    return this.refusalReason(record, now, permittedUntil) === undefined;
  }

  /**
   * Tells why an upstream may not receive requests.
   * @param record - the upstream that was chosen
   * @param now - current time, in milliseconds
   * @param permittedUntil - time until which a permit for the request is valid, in milliseconds; default no permit
   * @returns the reason; undefined if the same incarnation may receive requests
   */
  refusalReason(
    { id, service, startedAt }: UpstreamRecord,
    now: number,
    permittedUntil = Number.NEGATIVE_INFINITY,
  ): 'gone' | 'leaving' | 'evacuated' | 'paused' | 'limited' | undefined {
    const entry = this.#entries.get(id);
    if (!entry || (entry.missingUntil !== undefined && entry.missingUntil <= now)) return 'gone';
    const { record } = entry;
    if (record.service !== service || record.startedAt !== startedAt) return 'gone';
    if (this.#isOut(record, now)) return 'leaving';
    if (this.isEvacuated(record.dataCentre, now)) return 'evacuated';
    if (this.#isPaused(record, now)) return 'paused';
    const isLimited = this.limits.allowanceOf(record, now) !== undefined;
    return isLimited && now > permittedUntil ? 'limited' : undefined;
  }

  /**
   * Forgets the announcements of incarnations that have not been listed for a while.
   * @param now - current time, in milliseconds
   */
  forgetGone(now: number): void {
    this.#left.forEach(({ until }, id) => {
      if (until <= now) this.#left.delete(id);
    });
    this.signals.retain(this.all(), now);
    this.limits.retain(this.all(), now);
    this.warmups.retain(this.all());
  }

  /**
   * Lists all known upstreams.
   * @returns the upstreams, including leaving ones and those that were removed but are still kept
   */
  all(): readonly UpstreamRecord[] {
    return [...this.#entries.values()].map(({ record }) => record);
  }

  /**
   * Finds the upstream that has taken over the address of another one.
   * @param record - the other one
   * @returns the upstream; undefined if none is known
   */
  otherAt({ id, address }: UpstreamRecord): UpstreamRecord | undefined {
    return this.all().find((record) => record.address === address && record.id !== id);
  }

  /** Upstreams of a service that are listed or within their grace period, without leaving ones. */
  #registered(
    service: string,
    now: number,
    allowed: readonly string[] | undefined,
  ): readonly UpstreamRecord[] {
    return [...this.#entries.values()]
      .filter(({ missingUntil }) => missingUntil === undefined || missingUntil > now)
      .map(({ record }) => record)
      .filter((record) => record.service === service && !this.#isOut(record, now))
      .filter(({ dataCentre }) => isAllowedIn(dataCentre, allowed, this.regions));
  }

  /** Whether an upstream leaves, or is doubted because the store shows it as it was in a copy. */
  #isOut(record: UpstreamRecord, now: number): boolean {
    return this.isLeaving(record) || (this.#entries.get(record.id)?.doubtedUntil ?? 0) > now;
  }

  #hasLeft(record: UpstreamRecord, now: number): boolean {
    const { id, startedAt } = record;
    const known = this.#entries.get(id)?.record;
    if (known?.startedAt === startedAt) return this.#isOut(known, now);
    const left = this.#left.get(id);
    return left !== undefined && left.startedAt === startedAt && left.until > now;
  }

  #doubt(record: UpstreamRecord, now: number): void {
    const entry = { record, listedAt: now, missingUntil: undefined };
    this.#entries.set(record.id, { ...entry, doubtedUntil: now + DOUBT_MS });
  }

  #isPaused(record: UpstreamRecord, now: number): boolean {
    return this.signals.pausedUntil(record) > now;
  }
}
