/** Scheduler of one route: dispatches requests to workers, queues them or refuses them. */
import { FairQueue } from './fairqueue.js';
import { workspacesOverShare } from './fairshare.js';
import { Pool } from './pool.js';

import type { LoadBalancingPolicy } from './loadbalancingpolicy.js';
import type { QueueEntry } from './fairqueue.js';
import type { WorkerDocument } from './pool.js';
import type { RetryBudget } from './retrybudget.js';
import type { LoadReport } from './worker.js';

/** Weight of the newest interval in the moving average of intervals between queue dispatches. */
const INTERVAL_WEIGHT = 0.1;

/** Load above which only requests of workspaces within their fair share are dispatched. */
const FAIR_SHARE_LOAD = 0.85;

/** Minimum retry delay returned to a refused caller, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

/** A request for a worker: one attempt of a caller's request. */
export interface Ticket extends QueueEntry {
  readonly digests: readonly number[];
  /** Whether an earlier attempt of the request has failed. */
  readonly isRetry: boolean;
  /** Workers that the request may not use. */
  readonly excluded: readonly string[];
  /** Time until which the request may wait in the queue, in milliseconds. */
  readonly deadline: number;
}

/** Input events of the scheduler. */
export type RouteEvent =
  | { readonly type: 'workers'; readonly documents: readonly WorkerDocument[] }
  | { readonly type: 'submit'; readonly ticket: Ticket }
  | { readonly type: 'leave'; readonly ticket: Ticket }
  | { readonly type: 'begin'; readonly worker: string; readonly delayMs: number }
  | {
      readonly type: 'end';
      readonly worker: string;
      readonly workspace: string;
      readonly failed: boolean;
    }
  | { readonly type: 'report'; readonly worker: string; readonly report: LoadReport }
  | { readonly type: 'tick' };

type EndEvent = Extract<RouteEvent, { readonly type: 'end' }>;

/** Why a request is refused. */
export type RouteRefusal = 'overloaded' | 'upstream-unavailable';

/** Actions that the caller of the scheduler performs. */
export type RouteCommand =
  | { readonly type: 'dispatch'; readonly ticket: Ticket; readonly worker: string }
  | {
      readonly type: 'refuse';
      readonly ticket: Ticket;
      readonly code: RouteRefusal;
      readonly retryAfterMs: number;
    }
  | { readonly type: 'eject'; readonly worker: string };

/** Dependencies of a scheduler. */
export interface SchedulerContext {
  /** Chooses among the workers that have spare capacity. */
  readonly policy: LoadBalancingPolicy;
  /** Retry budget shared by all routes of the daemon. */
  readonly retries: RetryBudget;
  /** Returns the number of live daemons that send to the same workers, this one included. */
  readonly daemons: () => number;
  /** Random numbers in [0, 1). */
  readonly random: () => number;
}

/** Owns the queue and the load estimates of one route at one daemon. */
export class RouteScheduler {
  readonly pool: Pool;

  readonly #queue = new FairQueue<Ticket>();

  /** Open requests at workers, by workspace. */
  readonly #open = new Map<string, number>();

  #intervalMs: number | undefined;

  #lastDispatchAt = 0;

  /**
   * Creates the scheduler of a route.
   * @param ctx - policy, retry budget, number of daemons and random numbers
   */
  constructor(private readonly ctx: SchedulerContext) {
    this.pool = new Pool(ctx.daemons);
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.#queue.size;
  }

  /**
   * Handles an event.
   * @param event - the event
   * @param now - time in milliseconds
   * @returns the commands to perform, in order
   */
  *handle(event: RouteEvent, now: number): Generator<RouteCommand> {
    switch (event.type) {
      case 'workers':
        this.pool.configure(event.documents);
        break;
      case 'submit':
        yield* this.#submit(event.ticket, now);
        return;
      case 'leave':
        this.#queue.remove(event.ticket);
        return;
      case 'begin':
        this.#begin(event.worker, event.delayMs, now);
        return;
      case 'end':
        yield* this.#end(event, now);
        break;
      case 'report':
        if (!this.#recordReport(event.worker, event.report, now)) return;
        break;
      default:
        yield* this.#refuseExpired(now);
    }
    yield* this.#dispatchWaiting(now);
  }

  *#submit(ticket: Ticket, now: number): Generator<RouteCommand> {
    if (!ticket.isRetry) this.ctx.retries.addRequest();
    else if (this.#countUntried(ticket) === 0 || !this.ctx.retries.takeRetry()) {
      yield this.#refusal(ticket, 'upstream-unavailable', MIN_RETRY_AFTER_MS);
      return;
    }
    if (this.#queue.size === 0) {
      const worker = this.#assignWorker(ticket, now, FAIR_SHARE_LOAD);
      if (worker !== undefined) {
        yield { type: 'dispatch', ticket, worker };
        return;
      }
    }
    if (this.pool.serving.length === 0) {
      yield this.#refusal(ticket, 'upstream-unavailable', MIN_RETRY_AFTER_MS);
      return;
    }
    this.#queue.push(ticket);
    yield* this.#dispatchWaiting(now);
    const waitMs = this.#expectedWaitMs(ticket);
    if (now + waitMs <= ticket.deadline || !this.#queue.remove(ticket)) return;
    yield this.#refusal(ticket, 'overloaded', Math.max(MIN_RETRY_AFTER_MS, waitMs));
  }

  #begin(name: string, delayMs: number, now: number): void {
    const worker = this.pool.worker(name);
    worker?.recordDelay(delayMs);
    worker?.health.recordSuccess(now);
  }

  *#end({ worker: name, workspace, failed }: EndEvent, now: number): Generator<RouteCommand> {
    const worker = this.pool.worker(name);
    this.#countOpen(workspace, -1);
    if (worker) this.pool.count(worker, -1, now);
    if (failed && worker?.health.recordFailure(now)) yield { type: 'eject', worker: name };
  }

  *#dispatchWaiting(now: number): Generator<RouteCommand> {
    while (this.#queue.size > 0) {
      const overShare = this.#workspacesOverShare();
      const ticket = this.#queue.peek(overShare);
      if (!ticket) return;
      const worker = this.#assignWorker(
        ticket,
        now,
        overShare.has(ticket.workspace) ? FAIR_SHARE_LOAD : 1,
      );
      if (worker === undefined) return;
      this.#queue.dispatch(ticket);
      this.#recordInterval(now);
      yield { type: 'dispatch', ticket, worker };
    }
    this.#lastDispatchAt = 0;
  }

  *#refuseExpired(now: number): Generator<RouteCommand> {
    const expired = this.#queue.entries().filter(({ deadline }) => deadline <= now);
    for (const ticket of expired) {
      this.#queue.remove(ticket);
      yield this.#refusal(ticket, 'overloaded', MIN_RETRY_AFTER_MS);
    }
  }

  #assignWorker(ticket: Ticket, now: number, limit: number): string | undefined {
    const { digests, excluded } = ticket;
    const isWaiting = this.#queue.size > 0;
    const { candidates, meanLoad } = this.pool.candidates({ excluded, now, limit, isWaiting });
    const daemons = this.ctx.daemons();
    const worker = this.ctx.policy.choose({ candidates, meanLoad, digests, now, daemons });
    if (!worker) return undefined;
    this.pool.count(worker, 1, now);
    this.#countOpen(ticket.workspace, 1);
    this.ctx.policy.recordDispatch(worker, digests);
    return worker.name;
  }

  #countUntried({ excluded }: Ticket): number {
    return this.pool.serving.filter(({ name }) => !excluded.includes(name)).length;
  }

  #expectedWaitMs({ priority, workspace }: Ticket): number {
    if (this.#intervalMs === undefined) return 0;
    return (
      this.#queue.entriesAhead(priority, workspace, this.#workspacesOverShare()) * this.#intervalMs
    );
  }

  /** Applies a load report; returns whether the worker has room for a queued request. */
  #recordReport(name: string, report: LoadReport, now: number): boolean {
    const { daemons, random } = this.ctx;
    const worker = this.pool.worker(name);
    worker?.recordReport(report, now, 1 / daemons(), random());
    this.pool.recordReport(now);
    return this.#queue.size > 0 && worker !== undefined && worker.allotment >= 1;
  }

  #workspacesOverShare(): ReadonlySet<string> {
    const waiting = this.#queue.waiting();
    const names = new Set([...this.#open.keys(), ...waiting.keys()]);
    return workspacesOverShare(
      [...names].map((workspace) => ({
        workspace,
        open: this.#open.get(workspace) ?? 0,
        waiting: waiting.get(workspace) ?? 0,
      })),
    );
  }

  #countOpen(workspace: string, change: 1 | -1): void {
    const open = (this.#open.get(workspace) ?? 0) + change;
    if (open > 0) this.#open.set(workspace, open);
    else this.#open.delete(workspace);
  }

  #recordInterval(now: number): void {
    if (this.#lastDispatchAt > 0) {
      const interval = now - this.#lastDispatchAt;
      const mean = this.#intervalMs ?? interval;
      this.#intervalMs = mean + (interval - mean) * INTERVAL_WEIGHT;
    }
    this.#lastDispatchAt = now;
  }

  #refusal(ticket: Ticket, code: RouteRefusal, retryAfterMs: number): RouteCommand {
    return { type: 'refuse', ticket, code, retryAfterMs };
  }
}
