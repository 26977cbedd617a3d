/** Limits that upstreams name in their answers, and which upstreams have denied this daemon a permit. */
import { MINUTE_MS } from '../kernel/index.js';
import { incarnationKey } from './upstreamsignals.js';

import type { UpstreamIncarnation } from './upstreamsignals.js';

/** Time for which an incarnation that is not listed is remembered after its last change, in milliseconds. */
const UNLISTED_MEMORY_MS = MINUTE_MS;

/** What an answer of an upstream, or another daemon, says about its limit. */
export interface LimitObservation {
  /** Requests per second; undefined if the upstream names no limit. */
  readonly limit: number | undefined;
  /**
   * When an answer that names the limit was received, or the request was sent whose answer names none, in milliseconds: an
   * answer that was under way when a limit was named does not end it.
   */
  readonly at: number;
}

/** How an observation changed what is known. */
export type LimitChange = 'named' | 'changed' | 'ended';

interface LimitState {
  readonly observation: LimitObservation;
  /** Time until which no permit is asked for, in milliseconds. */
  readonly heldUntil: number;
  /** Number of permits that are being asked for. */
  readonly asking: number;
  /** Time of the last change, or when the incarnation was last listed, in milliseconds. */
  readonly touchedAt: number;
}

/** Remembers the newest limit of each incarnation. */
export class UpstreamLimits {
  readonly #states = new Map<string, LimitState>();

  /**
   * Applies an observation unless a newer one is known.
   * @param incarnation - the upstream
   * @param observation - its limit
   * @param now - current time, in milliseconds
   * @returns what has changed; undefined if nothing has
   */
  observe(
    incarnation: UpstreamIncarnation,
    observation: LimitObservation,
    now: number,
  ): LimitChange | undefined {
    const state = this.#find(incarnation);
    const known = state?.observation;
    if (!known && observation.limit === undefined) return undefined;
    if (known && observation.at <= known.at) return undefined;
    const isEnd = observation.limit === undefined;
    this.#states.set(incarnationKey(incarnation), {
      observation,
      heldUntil: isEnd ? Number.NEGATIVE_INFINITY : (state?.heldUntil ?? Number.NEGATIVE_INFINITY),
      asking: state?.asking ?? 0,
      touchedAt: now,
    });
    if (known?.limit === observation.limit) return undefined;
    if (isEnd) return 'ended';
    return known?.limit === undefined ? 'named' : 'changed';
  }

  /**
   * Returns what is known about the limit of an upstream.
   * @param incarnation - the upstream
   * @returns the newest observation; undefined if it has never named a limit
   */
  observationOf(incarnation: UpstreamIncarnation): LimitObservation | undefined {
    return this.#find(incarnation)?.observation;
  }

  /**
   * Returns the limit of an upstream.
   * @param incarnation - the upstream
   * @returns requests per second; undefined if it names no limit
   */
  limitOf(incarnation: UpstreamIncarnation): number | undefined {
    return this.observationOf(incarnation)?.limit;
  }

  /**
   * Returns when a permit for an upstream may be asked for.
   * @param incarnation - the upstream
   * @param now - current time, in milliseconds
   * @returns milliseconds from now; 0 if it may be asked for now, or is not needed
   */
  heldMs(incarnation: UpstreamIncarnation, now: number): number {
    const state = this.#find(incarnation);
    if (state?.observation.limit === undefined) return 0;
    return Math.max(0, state.heldUntil - now);
  }

  /**
   * Checks whether requests should be placed at other upstreams.
   * @param incarnation - the upstream
   * @param now - current time, in milliseconds
   * @returns whether a permit was denied until later, or as many are being asked for as it allows in a second
   */
  isHeld(incarnation: UpstreamIncarnation, now: number): boolean {
    const state = this.#find(incarnation);
    const limit = state?.observation.limit;
    if (!state || limit === undefined) return false;
    return state.heldUntil > now || state.asking >= Math.max(1, Math.ceil(limit));
  }

  /**
   * Records that no permit should be asked for until a time.
   * @param incarnation - the upstream
   * @param until - the time, in milliseconds
   */
  hold(incarnation: UpstreamIncarnation, until: number): void {
    this.#change(incarnation, () => ({ heldUntil: until }));
  }

  /**
   * Counts the permits that are being asked for.
   * @param incarnation - the upstream
   * @param by - 1 when one is asked for, -1 when the reply has arrived
   */
  countAsking(incarnation: UpstreamIncarnation, by: 1 | -1): void {
    this.#change(incarnation, ({ asking }) => ({ asking: Math.max(0, asking + by) }));
  }

  /**
   * Records which incarnations are listed, and forgets those that have not been listed for a while.
   * @param listed - every incarnation that is listed, or was until now
   * @param now - current time, in milliseconds
   */
  retain(listed: readonly UpstreamIncarnation[], now: number): void {
    listed.forEach((incarnation) => this.#change(incarnation, () => ({ touchedAt: now })));
    this.#states.forEach(({ touchedAt }, key) => {
      if (now - touchedAt > UNLISTED_MEMORY_MS) this.#states.delete(key);
    });
  }

  #change(
    incarnation: UpstreamIncarnation,
    change: (state: LimitState) => Partial<LimitState>,
  ): void {
    const state = this.#find(incarnation);
    if (state) this.#states.set(incarnationKey(incarnation), { ...state, ...change(state) });
  }

  #find(incarnation: UpstreamIncarnation): LimitState | undefined {
    // Placement asks for every upstream; limits are rare.
    return this.#states.size === 0 ? undefined : this.#states.get(incarnationKey(incarnation));
  }
}
