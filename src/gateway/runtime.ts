/** Creates, starts and stops the tasks of one gateway daemon. */
import { setTimeout as delay } from 'node:timers/promises';

import type { Socket } from 'node:net';
import { makeRecorder } from '../daemon/daemonrecorder.js';
import { splitAddress } from '../daemon/settings.js';
import {
  BodyGate,
  CallerConnections,
  connectionLimit,
  ReadAhead,
  RequestQueue,
} from '../ingress/index.js';
import { garbageCollector, SteadyClock } from '../kernel/index.js';
import { RetryBudget } from '../route/index.js';
import { LineLimit } from '../telemetry/index.js';
import { Allowances } from './allowances.js';
import { Announcements } from './announcements.js';
import { TIMEOUT_SLACK_MS } from './callrun.js';
import { CrashWatch } from './crashwatch.js';
import { UpstreamPool } from './upstreampool.js';
import { Holders } from './holders.js';
import { RoutingState } from './routingstate.js';
import { LimitPermits } from './limitpermits.js';
import { LoopDelay } from './loopdelay.js';
import { Membership } from './membership.js';
import { askNews, tellNews } from './startnews.js';
import { watchStoreEra } from './storeerawatch.js';
import { joinShardCount } from './shardcount.js';
import { Overflow } from './overflow.js';
import { MemoryWatch, memoryLimitBytes } from './memorywatch.js';
import { GatewayMetrics } from './metrics.js';
import { heldRequests, REFUSED_SHARE } from './requestlimit.js';
import { coldRecorder } from './coldrecord.js';
import { retryLimits } from './retrylimits.js';
import { processorCores } from './settings.js';
import { OpenRequests } from './openrequests.js';
import {
  acceptsDuringStop,
  cutTime,
  isPastAcceptAll,
  latestBegin,
  stopWindow,
} from './stopping.js';

import type { PlacementOptions } from '../route/index.js';
import type { ListenerClosing } from '../ingress/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { PlatformAdapter } from './adapter.js';
import type { CallContext } from './callrun.js';
import type { CallerLimits } from './configuration.js';
import type { RequestStage } from './openrequests.js';
import type { RegisteredDaemon } from './followedinstances.js';
import type { GatewaySettings } from './settings.js';
import type { SharedValue } from './sharedvalue.js';
import type { StopLoad, StopWindow } from './stopping.js';

/**
 * Time constant of the moving average of prepaid units used, in milliseconds: longer than the interval at
 * which daemons report their use to the store.
 */
const DEMAND_SMOOTHING_MS = 8_000;

/**
 * Time in which daemons that start together list each other, in milliseconds: longer than the pause of the
 * watch after a change of the daemon list.
 */
const FLEET_DISCOVERY_MS = 2_500;

/**
 * Weights of the delay estimate of the placement, and costs in milliseconds that it adds to the time in
 * which an upstream processes the prompts.
 */
const PLACEMENT_COSTS: Omit<PlacementOptions, 'tokensPerMs'> = {
  // Processing a shared prompt at one more upstream costs the fleet about twice the time for which the
  // caller waits, as other prompts there are delayed too.
  rereadWeight: 2,
  // One more request in a batch lengthens each of the many steps of an answer by hundredths of a
  // millisecond.
  loadMsPerRequest: 0.3,
  // Usual duration of a complete answer of a model upstream, after which its slot is free.
  slotWaitMs: 1_500,
  // Round-trip time between two data centres, and a little more for the cost of the traffic.
  remotePenaltyMs: 4,
  // A failed request costs its caller about one target time of a route.
  failurePenaltyMs: 400,
  // Usual time in which an upstream processes a long prompt; it sends nothing meanwhile.
  usualSilenceMs: 600,
};

/** Maximum number of log lines on closed new connections in one period, and the period in milliseconds. */
const MAX_DROPPED_LINES = 1;
const DROPPED_LINES_MS = 1_000;

/** How a graceful stop ended. */
export interface StopEnd {
  /** Number of idle connections that it has closed. */
  readonly idle: number;
  /** Whether the last poll of the sockets brought neither a connection nor a request. */
  readonly isDrained: boolean;
}

/** Tasks of one daemon. */
export class GatewayRuntime {
  readonly clock = new SteadyClock();

  readonly metrics = new GatewayMetrics();

  readonly callers = new CallerConnections(this.clock);

  readonly requestQueue = new RequestQueue(this.clock);

  readonly recorder: Recorder;

  readonly routingState: RoutingState;

  readonly upstreamPool: UpstreamPool;

  readonly #loopDelay: LoopDelay;

  readonly bodyGate: BodyGate;

  readonly #maxRequests = heldRequests();

  /** Number of connections of callers that the memory of the instance holds. */
  readonly #maxConnections: number;

  readonly #droppedLines = new LineLimit(MAX_DROPPED_LINES, DROPPED_LINES_MS);

  readonly readAhead = new ReadAhead<Socket>(this.#maxRequests);

  readonly #memoryWatch: MemoryWatch;

  readonly openRequests = new OpenRequests(this.clock);

  #membership: Membership | undefined;

  #shards: SharedValue<number> | undefined;

  #releaseEra: () => void = () => undefined;

  #callContext: CallContext | undefined;

  #allowances: Allowances | undefined;

  #overflow: Overflow | undefined;

  readonly #crashWatch: CrashWatch;

  #stopWindow: StopWindow | undefined;

  #hasReleasedExcess = false;

  /**
   * Called when this process must end because a later incarnation of the instance has closed its rows of
   * prepaid units.
   */
  onFenced: () => void = () => undefined;

  /**
   * Creates the tasks; nothing is sent before "start".
   * @param settings - validated settings
   * @param adapter - platform-specific parts
   */
  constructor(
    readonly settings: GatewaySettings,
    readonly adapter: PlatformAdapter,
  ) {
    const { instance, dataCentre, logLevel } = settings;
    this.recorder = makeRecorder({ instance, dataCentre, logLevel });
    this.#loopDelay = new LoopDelay(this.clock, this.recorder, this.metrics);
    const limitBytes = memoryLimitBytes(settings.memoryMb);
    this.#maxConnections = connectionLimit(limitBytes, this.#maxRequests * REFUSED_SHARE);
    this.bodyGate = new BodyGate(limitBytes, this.clock, garbageCollector());
    this.#memoryWatch = new MemoryWatch(
      limitBytes,
      this.recorder,
      this.metrics,
      () => ({
        connections: this.callers.size,
        ...this.openRequests.stages,
        ...this.bodyGate.facts,
        ...this.readAhead.facts,
      }),
      this.bodyGate,
    );
    const { metrics } = this;
    const { watchMs, evacuateMs, changes } = settings;
    const evacuation =
      typeof evacuateMs === 'number' ? { withinMs: evacuateMs, metrics } : undefined;
    this.routingState = new RoutingState(
      adapter,
      this.recorder,
      this.clock,
      watchMs,
      evacuation,
      changes ?? {},
    );
    this.routingState.upstreams.warmups.onCold = coldRecorder(this);
    this.routingState.upstreams.regions = settings.regions ?? {};
    this.#crashWatch = new CrashWatch({
      store: adapter.store,
      recorder: this.recorder,
      metrics: this.metrics,
      clock: this.clock,
      random: Math.random,
    });
    const { tokensPerMs } = settings.engines;
    const options = { ...PLACEMENT_COSTS, tokensPerMs, usesPace: settings.usesPace };
    this.upstreamPool = new UpstreamPool(
      this.routingState.upstreams,
      dataCentre,
      options,
      this.clock,
    );
  }

  /** Starts to follow the store and joins the fleet; resolves once the store has answered. */
  async start(): Promise<void> {
    this.recorder.record('daemonStarted', { peer: this.recorder.source });
    this.#loopDelay.start();
    this.#memoryWatch.start();
    this.routingState.isAwaitingNews = true;
    this.#releaseEra = watchStoreEra(this.adapter.store.era, this.recorder, this.metrics);
    this.routingState.start();
    this.#crashWatch.start();
    const { host, port } = splitAddress(this.settings.listen.peers);
    const membership = await Membership.join({
      self: this.recorder.source,
      dataCentre: this.settings.dataCentre,
      host,
      port,
      cores: processorCores(this.settings),
      store: this.adapter.store,
      recorder: this.recorder,
      clock: this.clock,
    });
    membership.start();
    this.routingState.evacuationWatch?.join(membership.network);
    tellNews(membership.network, () => this.routingState.news);
    // A store that states no era has lost nothing.
    if (this.adapter.store.era.current === undefined) this.routingState.hear(undefined);
    else void membership.listed.then(() => this.#hearNews(membership));
    this.#membership = membership;
    const { store } = this.adapter;
    const shards = await joinShardCount(store, this.settings.allowances.shards, this.recorder);
    this.#shards = shards;
    const allowances = this.#createAllowances(membership, shards);
    this.#allowances = allowances;
    allowances.whenFenced(() => this.onFenced());
    this.routingState.onConfigurationChange = () => allowances.refresh();
    // The number of units that a daemon keeps depends on the other daemons. These may be starting as well, so
    // the first draw waits until they have had time to register.
    void membership.listed
      .then(() => delay(FLEET_DISCOVERY_MS))
      .then(() => (shards.isCreated ? shards.compare() : undefined))
      .then(() => allowances.start());
    this.#overflow = new Overflow({
      self: this.settings.instance,
      dataCentre: this.settings.dataCentre,
      network: membership.network,
      daemons: () => membership.daemons,
      waitMs: () => this.requestQueue.expectedWaitMs,
      recorder: this.recorder,
      metrics: this.metrics,
      clock: this.clock,
    });
    this.#overflow.start();
    const { retries } = this.settings;
    this.#callContext = {
      codec: this.adapter.headers,
      allowances,
      announcements: new Announcements(membership.network, this.upstreamPool),
      upstreamPool: this.upstreamPool,
      registry: this.routingState.upstreams,
      limitPermits: this.#createLimitPermits(membership),
      retries: new RetryBudget(() => retryLimits(retries, membership.size)),
      recorder: this.recorder,
      metrics: this.metrics,
      crashWatch: this.#crashWatch,
      clock: this.clock,
      random: Math.random,
    };
  }

  /** Dependencies of request runs; undefined before the daemon can serve requests. */
  get callContext(): CallContext | undefined {
    return this.routingState.isLoaded ? this.#callContext : undefined;
  }

  /** Limits on callers' requests; undefined before the first configuration is applied. */
  get callerLimits(): CallerLimits | undefined {
    return this.routingState.table?.configuration.limits;
  }

  /** Whether the load balancer should route requests to this daemon. */
  get isReady(): boolean {
    return this.#stopWindow === undefined && this.callContext !== undefined && !this.isResting;
  }

  /** Whether callers should open new connections to other daemons, as this one is busy and others have room. */
  get isResting(): boolean {
    return this.#overflow?.isResting ?? false;
  }

  /** Whether kept connections are closed, so that their callers reach other daemons. */
  get closesConnections(): boolean {
    return this.#overflow?.closesConnections ?? false;
  }

  /**
   * Decides whether the caller of a request is sent to another daemon, which would serve it sooner.
   * @param request - id of the request, for the log
   * @param targetMs - target time of its route, in milliseconds
   * @returns whether the request is refused now
   */
  sendsElsewhere(request: string, targetMs: number): boolean {
    return this.#overflow?.sendsElsewhere(request, targetMs) ?? false;
  }

  /** Whether a graceful stop has begun. */
  get isStopping(): boolean {
    return this.#stopWindow !== undefined;
  }

  /** Number of open requests, and when the last one arrived. */
  get load(): StopLoad {
    return this.openRequests.load;
  }

  /**
   * Registers a connection that a caller has opened.
   * @param socket - the connection
   */
  accepted(socket: Socket): void {
    const connection = this.callers.of(socket);
    if (this.callers.size > this.#maxConnections && !this.callers.closeLeastUseful()) {
      connection.giveWay();
      this.#recordDropped();
      return;
    }
    connection.onClose(() => this.readAhead.closed(socket));
    this.readAhead.opened(socket);
    this.requestQueue.accepted();
  }

  /**
   * Whether there is room for a request that was read. One behind others on its connection waits for them in any case.
   * @param socket - its connection
   * @returns whether it may wait for its turn
   */
  hasRoom(socket: Socket): boolean {
    const isBehind = this.readAhead.unanswered(socket) > 1;
    return isBehind || this.openRequests.taken < this.#maxRequests * REFUSED_SHARE;
  }

  /**
   * Returns the longest time for which a request may wait until it begins. Only a stop limits it.
   * @param endsAt - time at which the request has ended at the latest, in milliseconds
   * @returns duration in milliseconds
   */
  longestWaitMs(endsAt: number): number {
    const now = this.clock.now();
    const beginsBy = this.#stopWindow ? latestBegin(this.#stopWindow, endsAt) : endsAt;
    return Math.min(beginsBy, endsAt - TIMEOUT_SLACK_MS) - now;
  }

  /**
   * Decides whether a request that has arrived or has waited for its turn is accepted now. Requests are refused only
   * during a stop.
   * @param request - its id, for the log
   * @param stage - how far it has come
   * @param route - name of its route
   * @param endsAt - time at which the request has ended at the latest, in milliseconds
   * @returns whether it is accepted
   */
  acceptsRequest(request: string, stage: RequestStage, route: string, endsAt: number): boolean {
    const window = this.#stopWindow;
    if (!window) return true;
    const now = this.clock.now();
    const isAccepted = acceptsDuringStop(window, endsAt, now);
    if (isPastAcceptAll(window, now)) {
      const facts = {
        isAccepted,
        stage,
        route,
        stoppingMs: Math.round(now - window.startedAt),
        leftMs: Math.round(cutTime(window) - now),
        limitMs: Math.round(endsAt - now),
      };
      this.recorder.record('callInStop', { request, facts });
    }
    return isAccepted;
  }

  /**
   * Begins a graceful stop: from now on the readiness check fails, but requests are still served.
   * @param cause - why the daemon stops, for the log
   * @returns start and duration of the stop
   */
  beginStop(cause: string): StopWindow {
    const now = this.clock.now();
    const window = stopWindow(this.#loopDelay.earliestSignal(now), now, this.settings.stopMs);
    this.#stopWindow = window;
    const unreadMs = Math.round(now - window.startedAt);
    this.recorder.record('daemonStopping', {
      facts: { cause, unreadMs, active: this.load.active },
    });
    return window;
  }

  /**
   * Returns to the store the available units that this daemon's rows grant, if the store is available. Only the
   * first call has an effect; it comes when the load balancer routes few or no requests to this daemon.
   */
  releaseExcess(): void {
    if (this.#hasReleasedExcess) return;
    this.#hasReleasedExcess = true;
    this.#allowances?.releaseExcess();
  }

  /**
   * Records that the listener for callers is closed.
   * @param idle - number of idle connections that were closed before
   * @param closing - how it came to be closed
   */
  listenerClosed(idle: number, closing: ListenerClosing): void {
    const facts = { idle, ...closing, active: this.load.active };
    this.recorder.record('listenerClosed', { facts });
  }

  /**
   * Records that a graceful stop is over.
   * @param end - how it ended
   */
  stopOver(end: StopEnd): void {
    const facts = { ...end, connections: this.callers.size, active: this.load.active };
    this.recorder.record('stopOver', { facts });
    this.recorder.flush();
  }

  /** Ends the requests that are still open when the daemon stops waiting for them. */
  stopOpenRequests(): void {
    this.openRequests.list().forEach(({ id, route, stage, openMs }) => {
      this.recorder.record('callCutByStop', { request: id, facts: { route, stage, openMs } });
    });
    this.requestQueue.stop();
    this.bodyGate.stop();
    this.openRequests.stopAll();
  }

  /** Returns unspent units, closes the links to the other daemons and stops the tasks. */
  async finishStop(): Promise<void> {
    this.routingState.stop();
    this.#overflow?.stop();
    this.#crashWatch.stop();
    this.#shards?.stop();
    this.#releaseEra();
    await this.#allowances?.stop();
    await this.#membership?.stop();
    this.upstreamPool.close();
    this.#loopDelay.stop();
    this.#memoryWatch.stop();
    this.recorder.record('daemonStopped', { facts: { active: this.load.active } });
    this.recorder.flush();
  }

  #recordDropped(): void {
    const unlogged = this.#droppedLines.admit(this.clock.now());
    if (unlogged === undefined) return;
    const detail = 'all connections have open requests: give the instance more memory (memoryMb)';
    const facts = { connections: this.callers.size, limit: this.#maxConnections, unlogged };
    this.recorder.record('connectionDropped', { detail, facts });
  }

  /** Asks other daemons what the store may have lost. */
  async #hearNews({ network }: Membership): Promise<void> {
    this.routingState.hear(await askNews(network, Math.random));
  }

  #createLimitPermits(membership: Membership): LimitPermits {
    const { clock, recorder, metrics } = this;
    return new LimitPermits({
      self: recorder.source,
      network: membership.network,
      daemons: () => membership.daemons.map(({ name }) => name),
      limits: this.routingState.upstreams.limits,
      recorder,
      metrics,
      clock,
      random: Math.random,
    });
  }

  #createAllowances(membership: Membership, shards: SharedValue<number>): Allowances {
    const { aloneSeconds, exposure, idlePart, holdersUpTo } = this.settings.allowances;
    const { clock, recorder } = this;
    const { network } = membership;
    const { dataCentre } = this.settings;
    const self = recorder.source;
    const daemons = (): readonly RegisteredDaemon[] => membership.daemons;
    const workspaceHolders = new Holders({
      self,
      dataCentre,
      cores: processorCores(this.settings),
      daemons,
      clock,
      allUpTo: holdersUpTo,
    });
    return new Allowances({
      self,
      store: this.adapter.store,
      network,
      recorder,
      metrics: this.metrics,
      clock,
      policy: (workspace) => ({
        aloneSeconds,
        exposure: this.#hasReleasedExcess || !workspaceHolders.isHolder(workspace) ? 0 : exposure,
        idlePart,
        daemons: workspaceHolders.count(workspace),
        smoothingMs: DEMAND_SMOOTHING_MS,
      }),
      holders: workspaceHolders,
      get shards() {
        return shards.current;
      },
      paidOf: (workspace) => this.routingState.table?.workspaceNamed(workspace)?.paidUnits,
      workspaces: () =>
        this.routingState.table?.configuration.workspaces?.map(({ name }) => name) ?? [],
      isStoreUp: () => this.routingState.isStoreUp,
      isStopping: () => this.isStopping,
    });
  }
}
