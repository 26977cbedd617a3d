/** What upstreams announce in their answers, kept apart from their entries in the store. */
import { MINUTE_MS } from '../kernel/index.js';

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
const UNLISTED_MEMORY_MS = MINUTE_MS;

/** Longest pause that is granted at once, in milliseconds: a wrong value must not take an upstream out of use for good. */
const MAX_PAUSE_MS = 30 * MINUTE_MS;

interface Signal extends UpstreamIncarnation {
  readonly isLeaving: boolean;
  /** End of the pause that it asked for, in milliseconds. */
  readonly pausedUntil: number;
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

function isSame(one: UpstreamIncarnation, other: UpstreamIncarnation): boolean {
  return one.startedAt === other.startedAt && one.address === other.address;
}

/** Remembers the announcements of each incarnation, whatever its entry in the store says. */
export class UpstreamSignals {
  /** Signals of the incarnations of each id: they are looked up for every upstream of each placement. */
  readonly #signals = new Map<string, readonly Signal[]>();

  /**
   * Records that an upstream has announced that it leaves.
   * @param incarnation - the upstream
   * @param now - current time, in milliseconds
   * @returns whether this was not known before
   */
  recordLeaving(incarnation: UpstreamIncarnation, now: number): boolean {
    const isNew = !this.isLeaving(incarnation);
    this.#update(incarnation, { isLeaving: true, listedAt: now });
    return isNew;
  }

  /**
   * Records that an upstream has asked for a pause. Of overlapping pauses, the one that ends last counts.
   * @param incarnation - the upstream
   * @param pauseMs - duration from now, in milliseconds; limited to half an hour
   * @param now - current time, in milliseconds
   * @returns whether the upstream is now paused for longer than it was before
   */
  recordPause(incarnation: UpstreamIncarnation, pauseMs: number, now: number): boolean {
    const pausedUntil = now + Math.min(pauseMs, MAX_PAUSE_MS);
    if (pausedUntil <= Math.max(now, this.pausedUntil(incarnation))) return false;
    this.#update(incarnation, { pausedUntil, listedAt: now });
    return true;
  }

  /**
   * Records that an upstream has answered without asking for a pause.
   * @param incarnation - the upstream
   * @param now - current time, in milliseconds
   * @returns time since the end of its last pause, in milliseconds; undefined if it has not ended or was returned before
   */
  recordAnswer(incarnation: UpstreamIncarnation, now: number): number | undefined {
    const endedMs = now - this.pausedUntil(incarnation);
    if (endedMs < 0 || endedMs === Number.POSITIVE_INFINITY) return undefined;
    this.#update(incarnation, { pausedUntil: Number.NEGATIVE_INFINITY });
    return endedMs;
  }

  /**
   * Checks whether an upstream has announced that it leaves.
   * @param incarnation - the upstream
   * @returns whether this incarnation has announced it in an answer
   */
  isLeaving(incarnation: UpstreamIncarnation): boolean {
    return this.#find(incarnation)?.isLeaving ?? false;
  }

  /**
   * Returns the end of the last pause that an upstream has asked for.
   * @param incarnation - the upstream
   * @returns time in milliseconds; negative infinity if this incarnation has not asked for a pause
   */
  pausedUntil(incarnation: UpstreamIncarnation): number {
    return this.#find(incarnation)?.pausedUntil ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Records which incarnations are listed, and forgets those that have not been listed for a while.
   * @param listed - every incarnation that is listed, or was until now
   * @param now - current time, in milliseconds
   */
  retain(listed: readonly UpstreamIncarnation[], now: number): void {
    listed
      .filter((incarnation) => this.#find(incarnation) !== undefined)
      .forEach((incarnation) => this.#update(incarnation, { listedAt: now }));
    this.#signals.forEach((signals, id) => {
      const kept = signals.filter(({ listedAt }) => now - listedAt <= UNLISTED_MEMORY_MS);
      if (kept.length === 0) this.#signals.delete(id);
      else if (kept.length < signals.length) this.#signals.set(id, kept);
    });
  }

  #update(incarnation: UpstreamIncarnation, change: Partial<Signal>): void {
    const { id, startedAt, address } = incarnation;
    const unknown = { isLeaving: false, pausedUntil: Number.NEGATIVE_INFINITY, listedAt: 0 };
    const before = this.#find(incarnation) ?? unknown;
    const others = (this.#signals.get(id) ?? []).filter((signal) => !isSame(signal, incarnation));
    this.#signals.set(id, [...others, { ...before, id, startedAt, address, ...change }]);
  }

  #find(incarnation: UpstreamIncarnation): Signal | undefined {
    return this.#signals.get(incarnation.id)?.find((signal) => isSame(signal, incarnation));
  }
}
