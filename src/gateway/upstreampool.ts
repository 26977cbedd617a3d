/** Connections and load of each upstream, and placement of requests on the upstreams. */
import { hash32 } from '../kernel/index.js';
import { HotParts, placeRequest, UpstreamStats, UsualPace } from '../route/index.js';
import { UpstreamConnections } from './connections.js';
import { incarnationKey } from './upstreamsignals.js';

import type { Clock } from '../kernel/index.js';
import type {
  Placement,
  PlacementCandidate,
  PlacementOptions,
  PlacementRequest,
} from '../route/index.js';
import type { UpstreamRecord, UpstreamRegistry } from './upstreams.js';

/** One incarnation of an upstream with its statistics and connections. */
export interface KnownUpstream {
  readonly record: UpstreamRecord;
  /** Hash of its id, for rendezvous hashing. */
  readonly seed: number;
  readonly stats: UpstreamStats;
  readonly connections: UpstreamConnections;
}

/** Least interval at which incarnations that are no longer registered are removed, in milliseconds. */
const SWEEP_INTERVAL_MS = 5_000;

/** Request to place, and which upstreams may receive it. */
export interface PlacementQuery {
  readonly service: string;
  readonly request: PlacementRequest;
  /** Ids of upstreams that may not receive it. */
  readonly excluded: readonly string[];
  /**
   * Tokens that fit into the memory of one upstream of the service; undefined for a service without a model.
   */
  readonly memoryTokens: number | undefined;
  /** Regions that may serve it; undefined for any. */
  readonly allowed?: readonly string[] | undefined;
  /** Whether upstreams that name a limit may not receive it; default false. */
  readonly isUnlimitedOnly?: boolean;
}

/** Keeps connections and load of the upstreams and places requests on them. */
export class UpstreamPool {
  readonly #known = new Map<string, KnownUpstream>();

  /** Frequent prompt parts, by service. */
  readonly #hotParts = new Map<string, HotParts>();

  /** Usual pace, by service. */
  readonly #usualPaces = new Map<string, UsualPace>();

  #sweptAt = 0;

  /**
   * Creates an empty pool.
   * @param registry - registered upstreams
   * @param dataCentre - data centre of this daemon
   * @param options - speeds and weights of the delay estimate
   * @param clock - time
   */
  constructor(
    private readonly registry: UpstreamRegistry,
    private readonly dataCentre: string,
    private readonly options: PlacementOptions,
    private readonly clock: Clock,
  ) {}

  /**
   * Places a request.
   * @param query - the request, and which upstreams may receive it
   * @param draw - random number in [0, 1) that breaks ties
   * @returns the placement with its upstream; undefined if no upstream may receive the request
   */
  place(
    query: PlacementQuery,
    draw: number,
  ): { readonly placement: Placement; readonly upstream: KnownUpstream } | undefined {
    const now = this.clock.now();
    this.#sweep(now);
    const upstreams = this.registry
      .serving(query.service, now, query.allowed)
      .filter(({ id }) => !query.excluded.includes(id))
      .filter((record) => !query.isUnlimitedOnly || !this.#isLimited(record, now))
      .map((record) => this.#of(record));
    const candidates = upstreams.map((known) => this.#candidate(known, query, now));
    const hotParts = this.#hotParts.get(query.service) ?? new HotParts();
    this.#hotParts.set(query.service, hotParts);
    const affinityPart = hotParts.choose(query.request, candidates.length, now);
    const isSizeUnknown = this.options.usesPace && query.request.promptTokens === 0;
    const usualMs = isSizeUnknown ? this.#usualPace(query.service).answerMs : 0;
    const request = { ...query.request, affinityPart, usualMs };
    const placement = placeRequest(candidates, request, this.options, draw);
    const upstream = upstreams.find(({ record }) => record.id === placement?.id);
    return placement && upstream ? { placement, upstream } : undefined;
  }

  /**
   * Checks whether an upstream of a service can be expected to answer.
   * @param query - the service, the regions of the upstreams, and ids of upstreams that do not count
   * @param silenceMs - time after which an upstream with unanswered requests counts as silent, in milliseconds
   * @returns whether one may receive requests without a permit, is not failing and is not silent
   */
  hasResponsive(
    { service, allowed, excluded }: Pick<PlacementQuery, 'service' | 'allowed' | 'excluded'>,
    silenceMs: number,
  ): boolean {
    const now = this.clock.now();
    return this.registry
      .serving(service, now, allowed)
      .filter((record) => !excluded.includes(record.id) && !this.#isLimited(record, now))
      .map((record) => this.#of(record).stats)
      .some((stats) => !stats.health.isFailing && stats.silentMs(now) < silenceMs);
  }

  /**
   * Adds a long prompt that another daemon has sent to the load of an upstream.
   * @param id - the upstream
   * @param tokens - prompt tokens that the upstream probably has to process
   */
  noteForeign(id: string, tokens: number): void {
    const now = this.clock.now();
    const record = this.registry.all().find((listed) => listed.id === id);
    if (record) this.#of(record).stats.recordPeerPrompt(tokens, this.options.tokensPerMs, now);
  }

  /** Closes all idle connections. */
  close(): void {
    this.#known.forEach(({ connections }) => connections.close());
  }

  #isLimited(record: UpstreamRecord, now: number): boolean {
    return this.registry.limits.allowanceOf(record, now) !== undefined;
  }

  #of(record: UpstreamRecord): KnownUpstream {
    const key = incarnationKey(record);
    const found = this.#known.get(key);
    const known = {
      record,
      seed: found?.seed ?? hash32(record.id),
      stats: found?.stats ?? new UpstreamStats(this.#usualPace(record.service)),
      connections: found?.connections ?? new UpstreamConnections(record.address),
    };
    this.#known.set(key, known);
    return known;
  }

  #usualPace(service: string): UsualPace {
    const found = this.#usualPaces.get(service) ?? new UsualPace();
    this.#usualPaces.set(service, found);
    return found;
  }

  #candidate(
    { record, seed, stats }: KnownUpstream,
    { memoryTokens }: PlacementQuery,
    now: number,
  ): PlacementCandidate {
    const free =
      memoryTokens === undefined ? Number.POSITIVE_INFINITY : memoryTokens - stats.memoryTokens;
    const load = stats.estimatedOpen(now);
    return {
      id: record.id,
      seed,
      isNear: record.dataCentre === this.dataCentre,
      capacity: record.capacity,
      load,
      pace: this.options.usesPace ? stats.pace.factor(load / record.capacity, now) : 1,
      waiting: stats.waiting(now),
      pendingTokens: stats.pendingTokens + stats.pendingPeerTokens(this.options.tokensPerMs, now),
      freeTokens: free,
      silentMs: stats.silentMs(now),
      failedShare: stats.failedShare,
      isEjected: stats.health.isEjected(now),
      // Permits keep a cold upstream from more than it tolerates: within that it is of use.
      warmupMs: this.registry.warmups.hasRate(record.service) ? 0 : record.warmupMs,
    };
  }

  /** Removes incarnations that are no longer registered and have no open requests. */
  #sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_INTERVAL_MS) return;
    this.#sweptAt = now;
    this.registry.forgetGone(now);
    const listed = new Set(this.registry.all().map(incarnationKey));
    [...this.#known].forEach(([key, { stats, connections }]) => {
      if (listed.has(key) || stats.open > 0) return;
      connections.close();
      this.#known.delete(key);
    });
  }
}
