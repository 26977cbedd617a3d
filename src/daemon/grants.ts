/**
 * Draws units of budgets from the store and reports loans and returns, with one call at a time for
 * each budget.
 */
import { drawRequest, drawUnits, parseShard, shardKey, shardOf } from '../budget/index.js';
import { SECOND_MS } from '../kernel/index.js';
import { updateObject } from '../store/index.js';

import type { DrawAnswer } from '../budget/index.js';
import type { Clock, Incarnation } from '../kernel/index.js';
import type { ObjectStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { BudgetTask } from './budgettask.js';
import type { Charges } from './charges.js';
import type { ConfigTask } from './configtask.js';

/**
 * Time after a failed store call during which requests do not wait for the store, in milliseconds.
 */
const STORE_FAILURE_BACKOFF_MS = 1_000;

/** Interval between reports of loans and returns to the store, in milliseconds. */
const REPORT_INTERVAL_MS = 2 * SECOND_MS;

/** Idle units are returned once in this number of reports. */
const REPORTS_PER_IDLE_RETURN = 15;

/** Dependencies of the grants. */
export interface GrantContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly budgets: BudgetTask;
  readonly config: Pick<ConfigTask, 'current'>;
  readonly recorder: Recorder;
  readonly clock: Clock;
  /** Adds the entry of this holder to a shard before the holder draws from the shard's budgets. */
  readonly charges: Charges;
}

/** A draw that starts when the running one has ended. */
interface NextDraw {
  /** Total units that the requests sharing this draw are short of. */
  missing: number;
  readonly answer: Promise<DrawAnswer | undefined>;
}

/** Draws units from the store for the holdings of this daemon. */
export class Grants {
  readonly #running = new Map<string, Promise<DrawAnswer | undefined>>();

  readonly #next = new Map<string, NextDraw>();

  #backoffUntil = 0;

  #timer: NodeJS.Timeout | undefined;

  #reports = 0;

  /**
   * Creates the grants.
   * @param ctx - store, holdings and identity
   */
  constructor(private readonly ctx: GrantContext) {}

  /** Starts the periodic reports. */
  start(): void {
    this.#timer = setInterval(() => {
      void this.report();
    }, REPORT_INTERVAL_MS);
  }

  /** Stops the periodic reports. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Whether a call to the store failed within the last STORE_FAILURE_BACKOFF_MS and no draw has
   * succeeded since.
   */
  get hasStoreFailedRecently(): boolean {
    return this.ctx.clock.now() < this.#backoffUntil;
  }

  /**
   * Draws units for a budget, with one draw at a time. Requests that arrive during a draw share the
   * next one, which asks for the sum of their missing units. Background calls that arrive during a
   * draw share the running one.
   * @param budget - budget name
   * @param missing - units that a waiting request is short of; 0 for a background call
   * @returns the answer of the store; undefined if the draw failed or this incarnation is fenced
   */
  draw(budget: string, missing: number): Promise<DrawAnswer | undefined> {
    const running = this.#running.get(budget);
    if (!running) return this.#start(budget, missing);
    if (missing === 0) return running;
    const next = this.#next.get(budget) ?? this.#queue(budget, running);
    next.missing += missing;
    return next.answer;
  }

  #queue(budget: string, running: Promise<DrawAnswer | undefined>): NextDraw {
    const begin = (): Promise<DrawAnswer | undefined> => {
      const current = this.#running.get(budget);
      if (current) return current.then(begin, begin);
      const { missing } = this.#next.get(budget) ?? { missing: 0 };
      this.#next.delete(budget);
      return this.#start(budget, missing);
    };
    const next: NextDraw = { missing: 0, answer: running.then(begin, begin) };
    this.#next.set(budget, next);
    return next;
  }

  #start(budget: string, missing: number): Promise<DrawAnswer | undefined> {
    const draw = this.#draw(budget, missing).finally(() => {
      if (this.#running.get(budget) === draw) this.#running.delete(budget);
    });
    this.#running.set(budget, draw);
    return draw;
  }

  /**
   * Reports unreported loans and returns to the store; every REPORTS_PER_IDLE_RETURN-th call
   * returns idle units first.
   */
  async report(): Promise<void> {
    const { budgets } = this.ctx;
    this.#reports += 1;
    const isIdleReturnDue = this.#reports % REPORTS_PER_IDLE_RETURN === 0;
    await Promise.all(
      budgets.budgets.map(async (budget) => {
        if (isIdleReturnDue) await budgets.ask({ type: 'return-idle', budget });
        const { holding } = await budgets.ask({ type: 'read', budget });
        if (!holding.reported) await this.draw(budget, 0);
      }),
    );
  }

  async #draw(budget: string, missing: number): Promise<DrawAnswer | undefined> {
    const { self, store, budgets, config, recorder, clock, charges } = this.ctx;
    if (!(await charges.join(budget))) return this.#beginBackoff();
    const shards = config.current?.manifest.budgetShards ?? 1;
    const { holding, escrow } = await budgets.ask({ type: 'read', budget });
    const request = drawRequest(holding, self, missing, clock.now());
    const kind = { key: shardKey(shardOf(budget, shards)), parse: parseShard };
    const result = await updateObject(store, kind, (shard) => drawUnits(shard, request));
    if (result.err) return this.#beginBackoff();
    this.#backoffUntil = 0;
    const answer = result.val;
    if (answer.isFenced) return undefined;
    await budgets.ask({ type: 'drawn', budget, asked: request, answer });
    const detail = `${answer.granted} in all, ${answer.left} left`;
    if (answer.granted > escrow.granted) recorder.record('grantDrawn', { budget, detail });
    else if (missing > 0) recorder.record('grantRefused', { budget, detail });
    return answer;
  }

  #beginBackoff(): undefined {
    this.#backoffUntil = this.ctx.clock.now() + STORE_FAILURE_BACKOFF_MS;
  }
}
