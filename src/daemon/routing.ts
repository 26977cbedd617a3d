/** Owns the route schedulers of one daemon: places requests, lets them wait, or refuses them. */
import { Err, failure, Ok } from '../kernel/index.js';
import { AffinityPolicy, RetryBudget, WorkspaceLimiter } from '../route/index.js';
import { Lanes } from './lanes.js';

import type { Route, UpstreamDocument, Workspace } from '../config/index.js';
import type { Failure, Result } from '../kernel/index.js';
import type { LoadReport, RouteCommand, RouteEvent, Ticket } from '../route/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Lane, LaneContext } from './lanes.js';

/** Interval at which waiting requests are checked against their deadlines, in milliseconds. */
const TICK_MS = 50;

/** What routing needs. */
export interface RoutingContext extends Omit<LaneContext, 'retries'> {
  readonly recorder: Recorder;
}

/** A request that asks for an upstream. */
export interface PlaceRequest {
  readonly workspace: Workspace;
  readonly route: Route;
  readonly digests: readonly number[];
  readonly excluded: readonly string[];
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

/** Cache events of a worker. */
export interface CacheNews {
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}

/** Refuses with the delay after which a caller may try again. */
function refused(code: Failure['code'], subject: string, retryAfterMs: number): Failure {
  return { ...failure(code, subject), retryAfterMs };
}

/** Places requests at upstreams. */
export class Routing {
  readonly retries = new RetryBudget();

  readonly #lanes: Lanes;

  readonly #uses = new WorkspaceLimiter();

  /** Tickets so far; two requests may carry the same key. */
  #tickets = 0;

  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates the task.
   * @param ctx - configuration, events, random numbers and the size of the fleet
   */
  constructor(private readonly ctx: RoutingContext) {
    this.#lanes = new Lanes({ ...ctx, retries: this.retries });
  }

  /** Begins to check deadlines. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#lanes.all().forEach((lane) => {
        if (lane.scheduler.waiting > 0) this.#apply(lane, { type: 'tick' });
      });
    }, TICK_MS);
  }

  /** Stops checking deadlines. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Requests that wait at all routes. */
  get waiting(): number {
    return this.#lanes.all().reduce((sum, { scheduler }) => sum + scheduler.waiting, 0);
  }

  /**
   * Admits a request against the limits of its workspace.
   * @param workspace - the workspace
   * @returns a failure if the limit is reached; otherwise "leave" must follow
   */
  enter(workspace: Workspace): Failure | undefined {
    const { name, concurrency, requestsPerSecond } = workspace;
    const limits = { workspace: name, concurrency, requestsPerSecond };
    const delayMs = this.#uses.admit(limits, Math.max(1, this.ctx.daemons()), performance.now());
    if (delayMs === 0) return undefined;
    return refused('limit-reached', `workspace ${name}`, delayMs);
  }

  /**
   * Takes note that an admitted request has ended.
   * @param workspace - its workspace
   */
  leave(workspace: Workspace): void {
    this.#uses.release(workspace.name);
  }

  /**
   * Finds an upstream, waiting for room until the queue deadline of the route.
   * @param ask - the request
   * @returns the upstream, counted as busy until "end"; otherwise why there is none
   */
  async place(ask: PlaceRequest): Promise<Result<UpstreamDocument, Failure>> {
    const { route, digests } = ask;
    const lane = this.#lanes.of(route);
    const documents = this.#lanes.documents(lane);
    lane.usedAt = performance.now();
    this.#tickets += 1;
    const ticket: Ticket = {
      id: String(this.#tickets),
      workspace: ask.workspace.name,
      priority: route.priority,
      digests,
      isRetry: ask.excluded.length > 0,
      excluded: this.#lanes.excluded(lane, route, ask.excluded),
      deadline: lane.usedAt + route.queueMs,
    };
    const command = await new Promise<RouteCommand>((resolve) => {
      lane.waiting.set(ticket.id, resolve);
      ask.signal.addEventListener('abort', () => this.#abandon(lane, ticket), { once: true });
      this.#apply(lane, { type: 'workers', documents });
      this.#apply(lane, { type: 'submit', ticket });
    });
    if (command.type === 'dispatch') {
      const upstream = this.#lanes.upstreams(route).find(({ url }) => url === command.worker);
      if (upstream) return Ok(upstream);
      const workspace = ask.workspace.name;
      this.#apply(lane, { type: 'end', worker: command.worker, workspace, failed: false });
    }
    if (command.type !== 'refuse') return Err(failure('upstream-unavailable', route.name));
    return Err(refused(command.code, `route ${route.name}`, command.retryAfterMs));
  }

  /**
   * Takes note that an answer has begun.
   * @param route - the route
   * @param worker - upstream name
   * @param delayMs - since the dispatch, in milliseconds
   */
  begin(route: Route, worker: string, delayMs: number): void {
    const lane = this.#lanes.of(route);
    this.#apply(lane, { type: 'begin', worker: lane.urls.get(worker) ?? worker, delayMs });
  }

  /**
   * Takes note that a request has ended at an upstream.
   * @param route - the route
   * @param worker - upstream name
   * @param workspace - workspace of the request
   * @param isFailed - whether the upstream failed
   */
  end(route: Route, worker: string, workspace: string, isFailed: boolean): void {
    const lane = this.#lanes.of(route);
    const url = lane.urls.get(worker) ?? worker;
    this.#apply(lane, { type: 'end', worker: url, workspace, failed: isFailed });
  }

  /**
   * Lists the routes that are in use.
   * @param withinMs - time since the last request, in milliseconds
   * @returns the routes
   */
  activeRoutes(withinMs: number): readonly Route[] {
    const since = performance.now() - withinMs;
    return this.#lanes
      .all()
      .filter(({ usedAt, scheduler }) => usedAt > since || scheduler.waiting > 0)
      .flatMap(({ routes }) => [...routes.values()]);
  }

  /**
   * Takes note of what a worker has cached and dropped.
   * @param route - route of the worker
   * @param worker - upstream name
   * @param news - digests of prompt prefixes
   */
  noteCache(route: Route, worker: string, { stored, evicted }: CacheNews): void {
    const { policy, urls } = this.#lanes.of(route);
    const url = urls.get(worker) ?? worker;
    if (!(policy instanceof AffinityPolicy)) return;
    policy.index.add(url, stored);
    policy.index.remove(url, evicted);
  }

  /**
   * Takes a load report.
   * @param route - route of the worker
   * @param worker - upstream name
   * @param report - the report
   */
  report(route: Route, worker: string, report: LoadReport): void {
    const lane = this.#lanes.of(route);
    this.#apply(lane, { type: 'report', worker: lane.urls.get(worker) ?? worker, report });
  }

  #abandon(lane: Lane, ticket: Ticket): void {
    const resolve = lane.waiting.get(ticket.id);
    if (!resolve) return;
    lane.waiting.delete(ticket.id);
    this.#apply(lane, { type: 'leave', ticket });
    resolve({ type: 'refuse', ticket, code: 'overloaded', retryAfterMs: 0 });
  }

  #apply(lane: Lane, event: RouteEvent): void {
    for (const command of lane.scheduler.handle(event, performance.now())) {
      if (command.type === 'eject') {
        this.ctx.recorder.record('upstreamEjected', { upstream: command.worker });
      } else {
        const resolve = lane.waiting.get(command.ticket.id);
        lane.waiting.delete(command.ticket.id);
        resolve?.(command);
      }
    }
  }
}
