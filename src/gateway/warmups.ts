/**
 * Upstreams that are cold. Answers the load of an upstream that has just started: it tolerates few requests per second, and
 * looks idle to all daemons at once.
 */
import { SECOND_MS } from '../kernel/index.js';
import { incarnationKey } from './upstreamsignals.js';

import type { WarmupRate } from './configuration.js';
import type { UpstreamLimits } from './upstreamlimits.js';
import type { UpstreamIncarnation } from './upstreamsignals.js';

/** Longest time for which an entry makes its upstream cold, in milliseconds: a wrong value must not limit it for good. */
const MAX_STATED_MS = 60 * SECOND_MS;

/**
 * Time for which an upstream that has not answered may have become cold without its entry telling, in milliseconds: until
 * the entry of the time before has expired, or the next one is known.
 */
const UNANSWERED_MS = 6 * SECOND_MS;

/** Time by which a daemon may hear late that an upstream may have become cold, in milliseconds. */
const NEWS_MS = SECOND_MS;

/** Upstream that may be cold. */
export interface WarmableUpstream extends UpstreamIncarnation {
  readonly service: string;
  /** Remaining time as stated in its entry, in milliseconds. */
  readonly warmupMs: number;
}

/** Why an upstream is taken for cold: its entry, an attempt without an answer, or the end of an evacuation. */
export type ColdReason = 'entry' | 'unanswered' | 'evacuated';

interface Entry {
  /** Remaining time that the entry stated, in milliseconds: an entry that is read again is no news. */
  readonly statedMs: number;
  /** Until when the upstream is cold by its entry, and may be cold after an evacuation or without an answer, in milliseconds. */
  readonly statedUntil: number;
  readonly evacuatedUntil: number;
  readonly unansweredUntil: number;
}

const UNKNOWN: Entry = {
  statedMs: 0,
  statedUntil: Number.NEGATIVE_INFINITY,
  evacuatedUntil: Number.NEGATIVE_INFINITY,
  unansweredUntil: Number.NEGATIVE_INFINITY,
};

/** Tells the limits until when upstreams are cold. */
export class Warmups {
  readonly #entries = new Map<string, Entry>();

  #rates: ReadonlyMap<string, WarmupRate> = new Map();

  /** Called when an upstream is taken for cold that was not before; the time left is in milliseconds. */
  onCold: (upstream: WarmableUpstream, why: ColdReason, leftMs: number) => void = () => undefined;

  /**
   * Creates warm-ups without rates.
   * @param limits - what the upstreams may get
   */
  constructor(private readonly limits: UpstreamLimits) {}

  /**
   * Sets the rates of the services, and applies them to the upstreams that are known.
   * @param services - services with the rate that their cold upstreams tolerate, if they have one
   * @param upstreams - upstreams that are listed
   * @param now - current time, in milliseconds
   */
  configure(
    services: readonly { readonly name: string; readonly warmup?: WarmupRate | undefined }[],
    upstreams: readonly WarmableUpstream[],
    now: number,
  ): void {
    this.#rates = new Map(services.flatMap(({ name, warmup }) => (warmup ? [[name, warmup]] : [])));
    upstreams.forEach((upstream) => this.#apply(upstream, 'entry', now));
  }

  /**
   * Checks whether permits keep cold upstreams of a service from more than they tolerate.
   * @param service - the service
   * @returns whether its configuration names a rate
   */
  hasRate(service: string): boolean {
    return this.#rates.has(service);
  }

  /**
   * Applies what the entry of an upstream states.
   * @param upstream - the upstream
   * @param now - current time, in milliseconds
   */
  noteEntry(upstream: WarmableUpstream, now: number): void {
    const key = incarnationKey(upstream);
    const known = this.#entries.get(key);
    const statedMs = Math.min(MAX_STATED_MS, Math.max(0, upstream.warmupMs));
    if (statedMs === (known?.statedMs ?? 0)) return;
    const statedUntil = statedMs === 0 ? now : now + statedMs;
    this.#entries.set(key, { ...(known ?? UNKNOWN), statedMs, statedUntil });
    this.#apply(upstream, 'entry', now);
  }

  /**
   * Takes an upstream for cold of which it is not known.
   * @param upstream - the upstream
   * @param why - what has happened
   * @param now - current time, in milliseconds
   */
  suspect(upstream: WarmableUpstream, why: Exclude<ColdReason, 'entry'>, now: number): void {
    const rate = this.#rates.get(upstream.service);
    if (!rate) return;
    const key = incarnationKey(upstream);
    const known = this.#entries.get(key) ?? UNKNOWN;
    const change =
      why === 'evacuated'
        ? { evacuatedUntil: now + rate.forMs + NEWS_MS }
        : { unansweredUntil: now + UNANSWERED_MS };
    this.#entries.set(key, { ...known, ...change });
    this.#apply(upstream, why, now);
  }

  /**
   * Forgets upstreams that are no longer registered.
   * @param listed - every upstream that is
   */
  retain(listed: readonly UpstreamIncarnation[]): void {
    const keys = new Set(listed.map(incarnationKey));
    this.#entries.forEach((_entry, key) => {
      if (!keys.has(key)) this.#entries.delete(key);
    });
  }

  #apply(upstream: WarmableUpstream, why: ColdReason, now: number): void {
    const rate = this.#rates.get(upstream.service);
    const entry = this.#entries.get(incarnationKey(upstream));
    if (!rate || !entry) return;
    const knownUntil = Math.max(entry.statedUntil, entry.evacuatedUntil);
    const until = Math.max(knownUntil, entry.unansweredUntil);
    if (until <= now && !this.limits.coldOf(upstream, now)) return;
    const { perSecond } = rate;
    const isNew = this.limits.setCold(upstream, { perSecond, until, knownUntil }, now);
    if (isNew) this.onCold(upstream, why, until - now);
  }
}
