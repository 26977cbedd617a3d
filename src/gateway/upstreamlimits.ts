/** Limits that upstreams name in their answers or have while they are cold, and which upstreams have denied this daemon a permit. */
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

/** Time in which an upstream is cold. */
export interface ColdSpell {
  /** Requests per second that it tolerates. */
  readonly perSecond: number;
  /** End, in milliseconds. */
  readonly until: number;
  /** Until when other daemons should take it for cold too, in milliseconds; from then on it is a suspicion of this daemon. */
  readonly knownUntil: number;
}

/** Requests that an upstream may get from all daemons together. */
export interface UpstreamAllowance {
  readonly perSecond: number;
  /** Whether it is cold. */
  readonly isCold: boolean;
}

interface LimitState {
  /** Undefined if it has never named a limit. */
  readonly observation: LimitObservation | undefined;
  /** Last time in which it was cold; undefined if there was none. */
  readonly cold: ColdSpell | undefined;
  /** Time until which no permit is asked for, in milliseconds. */
  readonly heldUntil: number;
  /** Number of permits that are being asked for. */
  readonly asking: number;
  /** Time of the last change, or when the incarnation was last listed, in milliseconds. */
  readonly touchedAt: number;
}

const UNKNOWN: LimitState = {
  observation: undefined,
  cold: undefined,
  heldUntil: Number.NEGATIVE_INFINITY,
  asking: 0,
  touchedAt: 0,
};

/** Remembers the newest limit of each incarnation, and until when it is cold. */
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
      ...(state ?? UNKNOWN),
      observation,
      ...(isEnd && { heldUntil: Number.NEGATIVE_INFINITY }),
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
   * Records until when an upstream is cold.
   * @param incarnation - the upstream
   * @param spell - its rate and the end
   * @param now - current time, in milliseconds
   * @returns whether it was not taken for cold before
   */
  setCold(incarnation: UpstreamIncarnation, spell: ColdSpell, now: number): boolean {
    const isNew = spell.until > now && !this.coldOf(incarnation, now);
    const state = this.#find(incarnation) ?? UNKNOWN;
    this.#states.set(incarnationKey(incarnation), { ...state, cold: spell, touchedAt: now });
    return isNew;
  }

  /**
   * Returns until when an upstream is cold.
   * @param incarnation - the upstream
   * @param now - current time, in milliseconds
   * @returns its rate and the end; undefined if it is not cold
   */
  coldOf(incarnation: UpstreamIncarnation, now: number): ColdSpell | undefined {
    const cold = this.#find(incarnation)?.cold;
    return cold && cold.until > now ? cold : undefined;
  }

  /**
   * Returns what an upstream may get from all daemons together: its limit, or its rate while it is cold if that is lower.
   * @param incarnation - the upstream
   * @param now - current time, in milliseconds
   * @returns the allowance; undefined if it needs no permits
   */
  allowanceOf(incarnation: UpstreamIncarnation, now: number): UpstreamAllowance | undefined {
    const limit = this.limitOf(incarnation);
    const cold = this.coldOf(incarnation, now);
    if (!cold) return limit === undefined ? undefined : { perSecond: limit, isCold: false };
    return { perSecond: Math.min(limit ?? cold.perSecond, cold.perSecond), isCold: true };
  }

  /**
   * Returns when a permit for an upstream may be asked for.
   * @param incarnation - the upstream
   * @param now - current time, in milliseconds
   * @returns milliseconds from now; 0 if it may be asked for now, or is not needed
   */
  heldMs(incarnation: UpstreamIncarnation, now: number): number {
    const state = this.#find(incarnation);
    if (!state || !this.allowanceOf(incarnation, now)) return 0;
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
    const allowance = this.allowanceOf(incarnation, now);
    if (!state || !allowance) return false;
    return state.heldUntil > now || state.asking >= Math.max(1, Math.ceil(allowance.perSecond));
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
