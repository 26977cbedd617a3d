/**
 * Grants permits for requests to upstreams that name a limit or are cold. Answers the load of many daemons that send to an
 * upstream of which each sees only its own requests: a single daemon, the steward, counts the requests of all.
 */
import { SECOND_MS } from '../kernel/index.js';

/**
 * Position of a daemon among those that may be the steward of an upstream. A "successor" has reached none of the daemons
 * before it for a while; a daemon that is "alone" has reached no other daemon at all.
 */
export type StewardRole = 'first' | 'second' | 'later' | 'successor' | 'alone';

/** Request for a permit. */
export interface PermitQuery {
  /** Key of the upstream's incarnation. */
  readonly upstream: string;
  /** Name of the daemon that asks. */
  readonly asker: string;
  /** Requests per second that the upstream names, or tolerates while it is cold. */
  readonly limit: number;
  /** Whether the limit is that of a cold upstream, which counts each second and also the requests of daemons that are cut off. */
  readonly isCold: boolean;
  /** Whether this daemon has been the first for so long that no other one counts as the first any more. */
  readonly isEstablished: boolean;
  readonly role: StewardRole;
  /** Number of daemons in the fleet. */
  readonly daemons: number;
}

/** Reply to a request for a permit. */
export interface PermitDecision {
  readonly isPermitted: boolean;
  /** Time after which the daemon should ask again, in milliseconds; 0 if the request is permitted. */
  readonly waitMs: number;
}

/** Share of the limit that a steward grants. */
const FULL_SHARE = 0.95;

/** Share while another daemon may still grant permits as the steward before it. */
const SETTLING_SHARE = 0.35;

/** Shares of daemons that are asked instead of a steward that others may still reach. */
const SECOND_SHARE = 0.3;
const LATER_SHARE = 0.1;

/** Share that daemons which reach no other one have together, beside a steward that they may not reach. */
const ALONE_SHARE = 0.5;

/** The same shares for a cold upstream: in any second, daemons on both sides of a cut together stay within its tolerance. */
const COLD_SHARES: Readonly<Record<StewardRole, number>> = {
  first: 0.95,
  successor: 0.4,
  second: 0.3,
  later: 0.05,
  alone: 0.2,
};

/** Time for which a new steward grants only the share of one that settles, in milliseconds. */
const SETTLING_MS = 4_000;

/** Time without a request for a permit after which a steward settles anew, in milliseconds. */
const IDLE_MS = 10_000;

/** Requests per second up to which a lower limit is raised: its end shows only in the answer to a request. */
const MIN_LIMIT = 0.25;

/** Requests that may follow each other at once: one, and those of a tenth of a second. */
const BURST_SECONDS = 0.1;

/** Bounds of the wait after a denial, in milliseconds: the end of a limit must be noticed soon. */
const MIN_WAIT_MS = 20;
const MAX_WAIT_MS = 2_000;

/** The same upper bound for a cold upstream, which is cold for a few seconds only. */
const MAX_COLD_WAIT_MS = 250;

/** Time by which each daemon that asks raises the upper bound, in milliseconds: it limits the requests for permits. */
const MAX_WAIT_PER_ASKER_MS = 10;

/** Interval at which upstreams without requests for permits are forgotten, in milliseconds. */
const SWEEP_INTERVAL_MS = 10_000;

interface Grants {
  /** When the first permit since the last idle time was asked for, in milliseconds. */
  readonly startedAt: number;
  /** Number of permits that may be granted, and the time up to which it is computed, in milliseconds. */
  readonly tokens: number;
  readonly at: number;
  /** Permits per second since then. */
  readonly rate: number;
  /** When each daemon asked last, in milliseconds. */
  readonly askers: Map<string, number>;
}

function shareOf({ role, daemons, isCold }: PermitQuery, isSettled: boolean): number {
  if (isCold && (role !== 'first' || isSettled))
    return COLD_SHARES[role] / (role === 'alone' ? Math.max(1, daemons - 1) : 1);
  if (role === 'first') return isSettled ? FULL_SHARE : SETTLING_SHARE;
  if (role === 'successor') return FULL_SHARE;
  if (role === 'alone') return ALONE_SHARE / Math.max(1, daemons - 1);
  return role === 'second' ? SECOND_SHARE : LATER_SHARE;
}

function maxWaitMs(askers: number, isCold: boolean): number {
  return Math.max(isCold ? MAX_COLD_WAIT_MS : MAX_WAIT_MS, askers * MAX_WAIT_PER_ASKER_MS);
}

/** Counts the permits that one daemon grants. */
export class LimitSteward {
  readonly #grants = new Map<string, Grants>();

  #sweptAt = Number.NEGATIVE_INFINITY;

  /**
   * Decides on a request for a permit.
   * @param query - upstream, daemon that asks, limit and role of this daemon
   * @param now - current time, in milliseconds
   * @param draw - random number in [0, 1), which spreads the daemons that wait
   * @returns whether it is granted, and when the daemon should ask again otherwise
   */
  decide(query: PermitQuery, now: number, draw: number): PermitDecision {
    this.#sweep(now);
    const { upstream, asker, role, isCold, isEstablished } = query;
    const found = this.#grants.get(upstream);
    const known = found && now - found.at < IDLE_MS ? found : undefined;
    const startedAt = known?.startedAt ?? now;
    const isSettled = now - startedAt >= SETTLING_MS || (isCold && isEstablished);
    const rate = Math.max(MIN_LIMIT, query.limit) * shareOf(query, isSettled);
    const first = role === 'alone' || (isCold && role === 'later') ? 0 : 1;
    const gained = known ? known.tokens + (known.rate * (now - known.at)) / SECOND_MS : first;
    const tokens = Math.min(1 + rate * BURST_SECONDS, gained);
    const isPermitted = tokens >= 1;
    const askers = known?.askers ?? new Map<string, number>();
    askers.set(asker, now);
    this.#grants.set(upstream, {
      startedAt,
      tokens: isPermitted ? tokens - 1 : tokens,
      at: now,
      rate,
      askers,
    });
    if (isPermitted) return { isPermitted, waitMs: 0 };
    const nextMs = ((1 - tokens) / rate) * SECOND_MS;
    const spreadMs = draw * (SECOND_MS / (2 * rate));
    return { isPermitted, waitMs: LimitSteward.#waitMs(nextMs, spreadMs, query, askers, now) };
  }

  /** Time until the next permit, spread over the daemons that have asked recently. */
  static #waitMs(
    nextMs: number,
    spreadMs: number,
    { isCold }: PermitQuery,
    askers: Map<string, number>,
    now: number,
  ): number {
    const memoryMs = 2 * maxWaitMs(askers.size, isCold);
    askers.forEach((askedAt, asker) => {
      if (now - askedAt > memoryMs) askers.delete(asker);
    });
    const waitMs = Math.max(MIN_WAIT_MS, nextMs + spreadMs * (askers.size - 1));
    return Math.min(maxWaitMs(askers.size, isCold), waitMs);
  }

  #sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_INTERVAL_MS) return;
    this.#sweptAt = now;
    this.#grants.forEach(({ at }, upstream) => {
      if (now - at >= IDLE_MS) this.#grants.delete(upstream);
    });
  }
}
