/** Decides for one route what is dispatched where, what waits and what is refused. */
import { FairQueue } from './fairqueue.js';
import { Pool } from './pool.js';

import type { ChoicePolicy } from './choice.js';
import type { Queued } from './fairqueue.js';
import type { WorkerDocument } from './pool.js';
import type { RetryBudget } from './retrybudget.js';
import type { LoadReport } from './worker.js';

/** Weight of the newest interval between dispatches from the queue. */
const INTERVAL_WEIGHT = 0.1;

/** Shortest delay that a refused caller is told to wait, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

/** A request that asks for a worker. */
export interface Ticket extends Queued {
  readonly digests: readonly number[];
  /** Workers that earlier attempts have tried; not empty for a retry. */
  readonly excluded: readonly string[];
  /** Time in milliseconds until which the request may wait. */
  readonly deadline: number;
}

/** What happens to a route. */
export type RouteEvent =
  | { readonly type: 'workers'; readonly documents: readonly WorkerDocument[] }
  | { readonly type: 'submit'; readonly ticket: Ticket }
  | { readonly type: 'leave'; readonly ticket: Ticket }
  | { readonly type: 'begin'; readonly worker: string; readonly delayMs: number }
  | { readonly type: 'end'; readonly worker: string; readonly failed: boolean }
  | { readonly type: 'report'; readonly worker: string; readonly report: LoadReport }
  | { readonly type: 'tick' };

/** Why a request is refused. */
export type RouteRefusal = 'overloaded' | 'upstream-unavailable';

/** What is to be done. */
export type RouteCommand =
  | { readonly type: 'dispatch'; readonly ticket: Ticket; readonly worker: string }
  | {
      readonly type: 'refuse';
      readonly ticket: Ticket;
      readonly code: RouteRefusal;
      readonly retryAfterMs: number;
    }
  | { readonly type: 'eject'; readonly worker: string };

/** Owns the queue and the load estimates of one route at one daemon. */
export class RouteScheduler {
  readonly pool = new Pool();

  readonly #queue = new FairQueue<Ticket>();

  #intervalMs: number | undefined;

  #lastDispatch = 0;

  /**
   * Creates the scheduler of a route.
   * @param policy - chooses among the workers with room
   * @param retries - retry budget of the whole daemon
   */
  constructor(
    private readonly policy: ChoicePolicy,
    private readonly retries: RetryBudget,
  ) {}

  /** Requests that wait. */
  get waiting(): number {
    return this.#queue.size;
  }

  /**
   * Handles an event.
   * @param event - what happened
   * @param now - time in milliseconds
   * @returns the commands that follow, in order
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
        yield* this.#end(event.worker, event.failed, now);
        break;
      case 'report':
        this.pool.worker(event.worker)?.report(event.report, now);
        this.pool.noteReport(now);
        break;
      default:
        yield* this.#expire(now);
    }
    yield* this.#pump(now);
  }

  *#submit(ticket: Ticket, now: number): Generator<RouteCommand> {
    const retry = ticket.excluded.length > 0;
    if (!retry) this.retries.addRequest();
    else if (this.#untried(ticket) === 0 || !this.retries.takeRetry()) {
      yield this.#refusal(ticket, 'upstream-unavailable', MIN_RETRY_AFTER_MS);
      return;
    }
    if (this.#queue.size === 0) {
      const worker = this.#place(ticket, now);
      if (worker !== undefined) {
        yield { type: 'dispatch', ticket, worker };
        return;
      }
    }
    if (this.pool.serving.length === 0) {
      yield this.#refusal(ticket, 'upstream-unavailable', MIN_RETRY_AFTER_MS);
      return;
    }
    const waitMs = this.#expectedWait(ticket);
    if (now + waitMs > ticket.deadline) {
      yield this.#refusal(ticket, 'overloaded', Math.max(MIN_RETRY_AFTER_MS, waitMs));
      return;
    }
    this.#queue.push(ticket);
    yield* this.#pump(now);
  }

  #begin(name: string, delayMs: number, now: number): void {
    const worker = this.pool.worker(name);
    worker?.observeDelay(delayMs);
    worker?.health.succeed(now);
  }

  *#end(name: string, failed: boolean, now: number): Generator<RouteCommand> {
    const worker = this.pool.worker(name);
    worker?.count(-1, now);
    if (failed && worker?.health.fail(now)) yield { type: 'eject', worker: name };
  }

  *#pump(now: number): Generator<RouteCommand> {
    for (let ticket = this.#queue.peek(); ticket; ticket = this.#queue.peek()) {
      const worker = this.#place(ticket, now);
      if (worker === undefined) return;
      this.#queue.dispatch(ticket);
      this.#noteInterval(now);
      yield { type: 'dispatch', ticket, worker };
    }
    this.#lastDispatch = 0;
  }

  *#expire(now: number): Generator<RouteCommand> {
    const late = this.#queue.entries().filter(({ deadline }) => deadline <= now);
    for (const ticket of late) {
      this.#queue.remove(ticket);
      yield this.#refusal(ticket, 'overloaded', MIN_RETRY_AFTER_MS);
    }
  }

  #place(ticket: Ticket, now: number): string | undefined {
    const { candidates, meanLoad } = this.pool.candidates(ticket.excluded, now);
    const { digests } = ticket;
    const worker = this.policy.choose({ candidates, meanLoad, digests });
    if (!worker) return undefined;
    worker.count(1, now);
    this.policy.noteDispatch(worker, digests);
    return worker.name;
  }

  #untried({ excluded }: Ticket): number {
    return this.pool.serving.filter(({ name }) => !excluded.includes(name)).length;
  }

  #expectedWait({ priority, workspace }: Ticket): number {
    if (this.#intervalMs === undefined) return 0;
    return (this.#queue.ahead(priority, workspace) + 1) * this.#intervalMs;
  }

  #noteInterval(now: number): void {
    if (this.#lastDispatch > 0) {
      const interval = now - this.#lastDispatch;
      const mean = this.#intervalMs ?? interval;
      this.#intervalMs = mean + (interval - mean) * INTERVAL_WEIGHT;
    }
    this.#lastDispatch = now;
  }

  #refusal(ticket: Ticket, code: RouteRefusal, retryAfterMs: number): RouteCommand {
    return { type: 'refuse', ticket, code, retryAfterMs };
  }
}
