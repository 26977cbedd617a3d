/** Owns the route schedulers of one daemon: places requests, lets them wait, or refuses them. */
import { Err, failure, Ok } from '../kernel/index.js';
import {
  AffinityPolicy,
  LeastOpenPolicy,
  RetryBudget,
  RouteScheduler,
  WorkspaceUse,
} from '../route/index.js';

import type { Route, UpstreamDocument, Workspace } from '../config/index.js';
import type { Failure, Result } from '../kernel/index.js';
import type { ChoicePolicy, LoadReport, RouteCommand, RouteEvent, Ticket } from '../route/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { ConfigTask } from './configtask.js';

/** Interval at which waiting requests are checked against their deadlines, in milliseconds. */
const TICK_MS = 50;

/** What routing needs. */
export interface RoutingContext {
  readonly config: ConfigTask;
  readonly recorder: Recorder;
  /** Random numbers in [0, 1). */
  readonly random: () => number;
  /** Live daemons of the fleet, this one included. */
  readonly daemons: () => number;
  /** Whether an upstream may receive new work, by the plans. */
  readonly mayReceive: (upstream: string) => boolean;
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

/** One route with the requests that wait for an answer of its scheduler. */
interface Lane {
  readonly scheduler: RouteScheduler;
  readonly route: Route;
  readonly policy: ChoicePolicy;
  readonly waiting: Map<string, (command: RouteCommand) => void>;
  documents: readonly UpstreamDocument[];
  /** Time of the last request, in milliseconds. */
  usedAt: number;
}

/** Refuses with the delay after which a caller may try again. */
function refused(code: Failure['code'], subject: string, retryAfterMs: number): Failure {
  return { ...failure(code, subject), retryAfterMs };
}

/** Places requests at upstreams. */
export class Routing {
  readonly retries = new RetryBudget();

  readonly #lanes = new Map<string, Lane>();

  readonly #uses = new WorkspaceUse();

  /** Tickets so far; two requests may carry the same key. */
  #tickets = 0;

  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates the task.
   * @param ctx - configuration, events, random numbers and the size of the fleet
   */
  constructor(private readonly ctx: RoutingContext) {}

  /** Begins to check deadlines. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#lanes.forEach((lane) => {
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
    return [...this.#lanes.values()].reduce((sum, { scheduler }) => sum + scheduler.waiting, 0);
  }

  /**
   * Admits a request against the limits of its workspace.
   * @param workspace - the workspace
   * @returns a failure if the limit is reached; otherwise "leave" must follow
   */
  enter(workspace: Workspace): Failure | undefined {
    const { name, concurrency, requestsPerSecond } = workspace;
    const limits = { workspace: name, concurrency, requestsPerSecond };
    const delayMs = this.#uses.enter(limits, Math.max(1, this.ctx.daemons()), performance.now());
    if (delayMs === 0) return undefined;
    return refused('limit-reached', `workspace ${name}`, delayMs);
  }

  /**
   * Takes note that an admitted request has ended.
   * @param workspace - its workspace
   */
  leave(workspace: Workspace): void {
    this.#uses.leave(workspace.name);
  }

  /**
   * Finds an upstream, waiting for room until the queue deadline of the route.
   * @param ask - the request
   * @returns the upstream, counted as busy until "end"; otherwise why there is none
   */
  async place(ask: PlaceRequest): Promise<Result<UpstreamDocument, Failure>> {
    const { route, excluded, digests } = ask;
    const lane = this.#lane(route);
    const documents = this.#documents(lane, route);
    const { priority, queueMs } = route;
    lane.usedAt = performance.now();
    const deadline = lane.usedAt + queueMs;
    const workspace = ask.workspace.name;
    this.#tickets += 1;
    const id = String(this.#tickets);
    const ticket: Ticket = { id, workspace, priority, digests, excluded, deadline };
    const command = await new Promise<RouteCommand>((resolve) => {
      lane.waiting.set(id, resolve);
      ask.signal.addEventListener('abort', () => this.#abandon(lane, ticket), { once: true });
      this.#apply(lane, { type: 'workers', documents });
      this.#apply(lane, { type: 'submit', ticket });
    });
    if (command.type === 'dispatch') {
      const upstream = documents.find(({ name }) => name === command.worker);
      const current = upstream ?? this.#current(route, command.worker);
      if (current) return Ok(current);
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
    this.#apply(this.#lane(route), { type: 'begin', worker, delayMs });
  }

  /**
   * Takes note that a request has ended at an upstream.
   * @param route - the route
   * @param worker - upstream name
   * @param workspace - workspace of the request
   * @param isFailed - whether the upstream failed
   */
  end(route: Route, worker: string, workspace: string, isFailed: boolean): void {
    this.#apply(this.#lane(route), { type: 'end', worker, workspace, failed: isFailed });
  }

  /**
   * Lists the routes that are in use.
   * @param withinMs - time since the last request, in milliseconds
   * @returns the routes
   */
  activeRoutes(withinMs: number): readonly Route[] {
    const since = performance.now() - withinMs;
    return [...this.#lanes.values()]
      .filter(({ usedAt, scheduler }) => usedAt > since || scheduler.waiting > 0)
      .map(({ route }) => route);
  }

  /**
   * Takes note of what a worker has cached and dropped.
   * @param route - route of the worker
   * @param worker - upstream name
   * @param news - digests of prompt prefixes
   */
  noteCache(route: Route, worker: string, { stored, evicted }: CacheNews): void {
    const { policy } = this.#lane(route);
    if (!(policy instanceof AffinityPolicy)) return;
    policy.index.add(worker, stored);
    policy.index.remove(worker, evicted);
  }

  /**
   * Takes a load report.
   * @param route - route of the worker
   * @param worker - upstream name
   * @param report - the report
   */
  report(route: Route, worker: string, report: LoadReport): void {
    this.#apply(this.#lane(route), { type: 'report', worker, report });
  }

  #upstreams(route: Route): readonly UpstreamDocument[] {
    const published = this.ctx.config.current?.upstreams(route.name) ?? [];
    return published.filter(({ name }) => this.ctx.mayReceive(name));
  }

  /** Routes keep their list as long as it has not changed, so that the pool need not be rebuilt. */
  #documents(lane: Lane, route: Route): readonly UpstreamDocument[] {
    const state = lane;
    const found = this.#upstreams(route);
    const isSame =
      found.length === lane.documents.length &&
      found.every((upstream, index) => upstream === lane.documents[index]);
    if (!isSame) state.documents = found;
    return lane.documents;
  }

  #current(route: Route, name: string): UpstreamDocument | undefined {
    return this.#upstreams(route).find((upstream) => upstream.name === name);
  }

  #lane(route: Route): Lane {
    const known = this.#lanes.get(route.name);
    if (known) return known;
    const { random, daemons } = this.ctx;
    const policy =
      route.kind === 'model' ? new AffinityPolicy({ random }) : new LeastOpenPolicy(random);
    const scheduler = new RouteScheduler({ policy, retries: this.retries, daemons, random });
    const lane = { scheduler, route, policy, waiting: new Map(), documents: [], usedAt: 0 };
    this.#lanes.set(route.name, lane);
    return lane;
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
