/** Runs the route schedulers of one daemon: assigns upstreams to requests or refuses them. */
import { Err, failure, Ok } from '../kernel/index.js';
import { AffinityPolicy, RetryBudget, WorkspaceLimiter } from '../route/index.js';
import { RouteGroups } from './routegroups.js';

import type { Route, UpstreamDocument, Workspace } from '../config/index.js';
import type { Failure, Result } from '../kernel/index.js';
import type { LoadReport, RouteCommand, RouteEvent, Ticket } from '../route/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { RouteGroup, RouteGroupContext } from './routegroups.js';

/** Interval between checks of queued requests for expired deadlines, in milliseconds. */
const DEADLINE_CHECK_INTERVAL_MS = 50;

/** Dependencies of the routing. */
export interface RoutingContext extends Omit<RouteGroupContext, 'retries'> {
  readonly recorder: Recorder;
}

/** A request that needs an upstream. */
export interface UpstreamChoiceRequest {
  readonly workspace: Workspace;
  readonly route: Route;
  /** Digests of the prompt at its block boundaries. */
  readonly digests: readonly number[];
  /** Names of the upstreams that earlier attempts have tried. */
  readonly excluded: readonly string[];
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Digests of the prompt prefixes that a worker added to its cache or evicted from it. */
export interface CacheEvents {
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}

/** Creates a failure with the delay after which the caller may retry. */
function failureWithRetryAfter(
  code: Failure['code'],
  subject: string,
  retryAfterMs: number,
): Failure {
  return { ...failure(code, subject), retryAfterMs };
}

/** Assigns upstreams to requests. */
export class Routing {
  readonly retries = new RetryBudget();

  readonly #groups: RouteGroups;

  readonly #workspaceUse = new WorkspaceLimiter();

  /** Id of the last ticket; a counter, because two requests may have the same key. */
  #lastTicketId = 0;

  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates the routing; deadlines are checked only after `start` is called.
   * @param ctx - configuration, event recorder, random numbers and the size of the fleet
   */
  constructor(private readonly ctx: RoutingContext) {
    this.#groups = new RouteGroups({ ...ctx, retries: this.retries });
  }

  /** Starts the periodic deadline checks. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#groups.all().forEach((group) => {
        if (group.scheduler.waiting > 0) this.#apply(group, { type: 'tick' });
      });
    }, DEADLINE_CHECK_INTERVAL_MS);
  }

  /** Stops the periodic deadline checks. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Number of queued requests, over all routes. */
  get waiting(): number {
    return this.#groups.all().reduce((sum, { scheduler }) => sum + scheduler.waiting, 0);
  }

  /**
   * Counts a request against the concurrency and rate limits of its workspace.
   * @param workspace - the workspace
   * @returns a failure if a limit is reached; otherwise "releaseWorkspaceSlot" must be called later
   */
  acquireWorkspaceSlot(workspace: Workspace): Failure | undefined {
    const { name, concurrency, requestsPerSecond } = workspace;
    const limits = { workspace: name, concurrency, requestsPerSecond };
    const delayMs = this.#workspaceUse.admit(
      limits,
      Math.max(1, this.ctx.daemons()),
      performance.now(),
    );
    if (delayMs === 0) return undefined;
    return failureWithRetryAfter('limit-reached', `workspace ${name}`, delayMs);
  }

  /**
   * Releases the slot of a request that has ended.
   * @param workspace - its workspace
   */
  releaseWorkspaceSlot(workspace: Workspace): void {
    this.#workspaceUse.release(workspace.name);
  }

  /**
   * Chooses an upstream, waiting for a free one until the queue deadline of the route.
   * @param request - the request
   * @returns the upstream, at which the request counts as open until `end` is called; otherwise a
   *   failure
   */
  async chooseUpstream(request: UpstreamChoiceRequest): Promise<Result<UpstreamDocument, Failure>> {
    const { route, digests } = request;
    const group = this.#groups.of(route);
    const documents = this.#groups.documents(group);
    group.usedAt = performance.now();
    this.#lastTicketId += 1;
    const ticket: Ticket = {
      id: String(this.#lastTicketId),
      workspace: request.workspace.name,
      priority: route.priority,
      digests,
      isRetry: request.excluded.length > 0,
      excluded: this.#groups.excludedWorkers(group, route, request.excluded),
      deadline: group.usedAt + route.queueMs,
    };
    const command = await new Promise<RouteCommand>((resolve) => {
      group.waiting.set(ticket.id, resolve);
      request.signal.addEventListener('abort', () => this.#cancelTicket(group, ticket), {
        once: true,
      });
      this.#apply(group, { type: 'workers', documents });
      this.#apply(group, { type: 'submit', ticket });
    });
    if (command.type === 'dispatch') {
      const upstream = this.#groups.upstreams(route).find(({ url }) => url === command.worker);
      if (upstream) return Ok(upstream);
      const workspace = request.workspace.name;
      this.#apply(group, { type: 'end', worker: command.worker, workspace, failed: false });
    }
    if (command.type !== 'refuse') return Err(failure('upstream-unavailable', route.name));
    return Err(failureWithRetryAfter(command.code, `route ${route.name}`, command.retryAfterMs));
  }

  /**
   * Records the arrival of the first byte of an answer.
   * @param route - the route
   * @param upstreamName - upstream name
   * @param delayMs - time since the dispatch, in milliseconds
   */
  noteFirstByte(route: Route, upstreamName: string, delayMs: number): void {
    const group = this.#groups.of(route);
    this.#apply(group, {
      type: 'begin',
      worker: group.urls.get(upstreamName) ?? upstreamName,
      delayMs,
    });
  }

  /**
   * Records that an upstream no longer processes a request.
   * @param route - the route
   * @param upstreamName - upstream name
   * @param workspace - workspace of the request
   * @param isFailed - whether the upstream failed
   */
  end(route: Route, upstreamName: string, workspace: string, isFailed: boolean): void {
    const group = this.#groups.of(route);
    const url = group.urls.get(upstreamName) ?? upstreamName;
    this.#apply(group, { type: 'end', worker: url, workspace, failed: isFailed });
  }

  /**
   * Lists the routes in use: those with a recent request, and those with queued requests.
   * @param withinMs - longest time since the last request, in milliseconds
   * @returns the routes
   */
  activeRoutes(withinMs: number): readonly Route[] {
    const since = performance.now() - withinMs;
    return this.#groups
      .all()
      .filter(({ usedAt, scheduler }) => usedAt > since || scheduler.waiting > 0)
      .flatMap(({ routes }) => [...routes.values()]);
  }

  /**
   * Applies cache events of a worker to the prefix index, if the policy of the route has one.
   * @param route - route of the worker
   * @param upstreamName - upstream name
   * @param events - digests of the prefixes that were stored and evicted
   */
  noteCacheEvents(route: Route, upstreamName: string, { stored, evicted }: CacheEvents): void {
    const { policy, urls } = this.#groups.of(route);
    const url = urls.get(upstreamName) ?? upstreamName;
    if (!(policy instanceof AffinityPolicy)) return;
    policy.index.add(url, stored);
    policy.index.remove(url, evicted);
  }

  /**
   * Passes a load report of a worker to the scheduler.
   * @param route - route of the worker
   * @param upstreamName - upstream name
   * @param report - the report
   */
  noteLoadReport(route: Route, upstreamName: string, report: LoadReport): void {
    const group = this.#groups.of(route);
    this.#apply(group, {
      type: 'report',
      worker: group.urls.get(upstreamName) ?? upstreamName,
      report,
    });
  }

  #cancelTicket(group: RouteGroup, ticket: Ticket): void {
    const resolve = group.waiting.get(ticket.id);
    if (!resolve) return;
    group.waiting.delete(ticket.id);
    this.#apply(group, { type: 'leave', ticket });
    resolve({ type: 'refuse', ticket, code: 'overloaded', retryAfterMs: 0 });
  }

  #apply(group: RouteGroup, event: RouteEvent): void {
    for (const command of group.scheduler.handle(event, performance.now())) {
      if (command.type === 'eject') {
        this.ctx.recorder.record('upstreamEjected', { upstream: command.worker });
      } else {
        const resolve = group.waiting.get(command.ticket.id);
        group.waiting.delete(command.ticket.id);
        resolve?.(command);
      }
    }
  }
}
