/** Prepaid units of this daemon: decides whether a request may spend, and where more comes from. */
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

import { isStoreKnownEmpty, hasGrantedUnits, netSpent, needsDraw } from '../allowance/index.js';
import { Err, failure, Ok } from '../kernel/index.js';
import { AllowanceLoans } from './allowanceloans.js';
import { AllowanceReturns } from './allowancereturns.js';
import { AllowanceRows } from './allowancerows.js';
import { Holdings } from './holdings.js';

import type { Failure, Result } from '../kernel/index.js';
import type { AllowanceContext } from './allowancecontext.js';

/** Interval at which holdings are looked at, in milliseconds: a fraction of what they last. */
const REFRESH_INTERVAL_MS = 1_000;

/** Interval at which the log tells what is ready, in refreshes. */
const REFRESHES_PER_LOG = 5;

/** Time that a waiting request gives the store alone, in milliseconds: some of its answers. */
const STORE_WAIT_MS = 30;

/** Peers that are asked for one shortage. */
const MAX_PEERS = 6;

/** Peers that a holder asks before the store. */
const PEERS_BEFORE_STORE = 2;

/** Delay after which a refused caller may come back, in milliseconds: running requests settle. */
const RETRY_AFTER_MS = 1_000;

/** The same while the store is away, in milliseconds: outages last for seconds. */
const STORE_DOWN_RETRY_AFTER_MS = 3_000;

/** Reserves and settles the units of requests. */
export class Allowances {
  readonly #holdings: Holdings;

  readonly #rows: AllowanceRows;

  readonly #loans: AllowanceLoans;

  readonly #returns: AllowanceReturns;

  #timer: NodeJS.Timeout | undefined;

  #refreshes = 0;

  /**
   * Creates the task.
   * @param ctx - store, peers and what is in force
   */
  constructor(private readonly ctx: AllowanceContext) {
    this.#holdings = new Holdings(ctx.policy, ctx.clock);
    this.#rows = new AllowanceRows(ctx, this.#holdings);
    this.#loans = new AllowanceLoans(ctx, this.#holdings, (workspace) =>
      this.#drawForPeer(workspace),
    );
    this.#returns = new AllowanceReturns(ctx, this.#holdings, (workspace) =>
      this.#loans.lastKnownUnspent(workspace),
    );
  }

  /**
   * Sets what happens when another life of this instance has closed the rows of this one.
   * @param onFenced - ends the process
   */
  whenFenced(onFenced: () => void): void {
    this.#rows.onFenced = onFenced;
  }

  /**
   * Draws a first part of every workspace and reports at intervals from then on; nothing after a stop.
   * The first draw comes at a random moment of the interval: daemons that start at once would all write
   * to the same objects at the same moments.
   */
  start(): void {
    this.#timer = setTimeout(() => {
      if (this.#holdings.isClosed) return;
      this.refresh();
      this.#timer = setInterval(() => this.refresh(), REFRESH_INTERVAL_MS);
    }, REFRESH_INTERVAL_MS * Math.random());
  }

  /** Draws what runs low and reports what was spent. */
  refresh(): void {
    this.#logTotals();
    void this.#returns.refresh();
    const now = this.ctx.clock.now();
    const due = this.ctx
      .workspaces()
      .filter(
        (workspace) => this.ctx.paidOf(workspace) !== undefined && this.#maintainsLine(workspace),
      )
      .filter((workspace) =>
        needsDraw(this.#holdings.of(workspace), this.ctx.policy(workspace), now),
      )
      .map((workspace) => this.#rows.shardOf(workspace));
    new Set(due).forEach((shard) => {
      void this.#rows.draw(shard);
    });
  }

  /** Gives back at once what the policy no longer asks for; kept for the end while the store is away. */
  releaseExcess(): void {
    if (!this.ctx.isStoreUp()) return;
    new Set(this.#holdings.workspaces.map((name) => this.#rows.shardOf(name))).forEach((shard) => {
      void this.#rows.draw(shard);
    });
  }

  /**
   * Reserves the worst case of a request.
   * @param workspace - who pays
   * @param units - worst case
   * @param waitMs - longest wait for store and peers, in milliseconds
   * @param signal - ends the wait when nobody needs the units any more
   * @returns nothing, or why the units cannot be had
   */
  async reserve(
    workspace: string,
    units: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<void, Failure>> {
    const paid = this.ctx.paidOf(workspace);
    if (paid === undefined) return Ok(undefined);
    if (this.#holdings.isClosed) return Err(failure('not-ready', workspace));
    if (this.#holdings.tryReserve(workspace, units)) return Ok(undefined);
    this.#holdings.adjustMissing(workspace, units);
    try {
      if (await this.#acquire(workspace, units, waitMs, signal)) return Ok(undefined);
    } finally {
      this.#holdings.adjustMissing(workspace, -units);
    }
    return Err(this.#shortageFailure(workspace, units, paid));
  }

  /**
   * Settles a reservation.
   * @param workspace - who pays
   * @param reserved - units that were reserved
   * @param used - units that were used
   */
  settle(workspace: string, reserved: number, used: number): void {
    this.#holdings.settle(workspace, reserved, used);
    void this.#returns.returnLeftover(workspace);
  }

  /**
   * Gives every unit back that is not spent, before the process ends: to the store, or while that
   * is away to another daemon.
   */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#holdings.isClosed = true;
    await this.#rows.end((shard) => {
      const ofShard = this.#holdings.workspaces.filter(
        (name) => this.#rows.shardOf(name) === shard,
      );
      return this.#returns.handOver(ofShard);
    });
  }

  /** Tells now and then what is ready: units that nobody uses show up here. */
  #logTotals(): void {
    this.#refreshes += 1;
    if (this.#refreshes % REFRESHES_PER_LOG !== 0) return;
    const totals = this.#holdings.totals((workspace) => this.ctx.holders.isHolder(workspace));
    this.ctx.recorder.record('allowancesHeld', { facts: { ...totals } });
  }

  /** Draws for a daemon that asks for more than is ready. */
  async #drawForPeer(workspace: string): Promise<void> {
    if (!this.ctx.isStoreUp()) return;
    await Promise.race([this.#draw(workspace), sleep(STORE_WAIT_MS)]);
  }

  /** Draws for a request, unless the store had nothing free a moment ago. */
  #draw(workspace: string): Promise<boolean> {
    const isStoreDrained = isStoreKnownEmpty(this.#holdings.of(workspace), this.ctx.clock.now());
    return isStoreDrained ? Promise.resolve(false) : this.#rows.draw(this.#rows.shardOf(workspace));
  }

  /** Whether this daemon has a part in the row of a workspace to look after. */
  #maintainsLine(workspace: string): boolean {
    return hasGrantedUnits(this.#holdings.of(workspace)) || this.ctx.holders.isHolder(workspace);
  }

  /** Asks peers and the store in turn until the units are reserved. */
  async #acquire(
    workspace: string,
    units: number,
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<boolean> {
    const deadline = this.ctx.clock.now() + waitMs;
    const reserved = (): boolean => this.#holdings.tryReserve(workspace, units);
    const isCancelled = (): boolean => signal?.aborted ?? false;
    const cancellations = signal ? [once(signal, 'abort')] : [];
    // A call to the store has its price, and peers that hold more than they need answer as fast.
    const isHolder = this.ctx.holders.isHolder(workspace);
    if (!isHolder || this.#loans.hasPeerWithSurplus(workspace, units)) {
      const borrowed = this.#loans.borrow(workspace, isHolder ? PEERS_BEFORE_STORE : MAX_PEERS);
      await Promise.race([borrowed, ...cancellations]);
    }
    if (isCancelled()) return false;
    if (reserved()) return true;
    // Holders that answer have asked the store already.
    if (!isHolder && this.#loans.hasHolderAnswered(workspace)) return false;
    const drawn = this.#draw(workspace);
    if (this.ctx.isStoreUp()) await Promise.race([drawn, sleep(STORE_WAIT_MS), ...cancellations]);
    if (isCancelled()) return false;
    if (reserved()) return true;
    await Promise.race([this.#loans.borrow(workspace, MAX_PEERS), ...cancellations]);
    if (isCancelled()) return false;
    if (reserved()) return true;
    const remainingMs = deadline - this.ctx.clock.now();
    if (remainingMs > 0) await Promise.race([drawn, sleep(remainingMs), ...cancellations]);
    return !isCancelled() && reserved();
  }

  /** Exhausted only where the store has shown that nobody can have enough. */
  #shortageFailure(workspace: string, units: number, paid: number): Failure {
    const { view, escrow } = this.#holdings.of(workspace);
    const own = view ? view.unspent - netSpent(escrow) : paid;
    const unspent = this.ctx.holders.isHolder(workspace)
      ? own
      : (this.#loans.lastKnownUnspent(workspace) ?? paid);
    const isExhausted = unspent < units;
    const code = isExhausted ? 'budget-exhausted' : 'budget-unreachable';
    const retryAfterMs = this.ctx.isStoreUp() ? RETRY_AFTER_MS : STORE_DOWN_RETRY_AFTER_MS;
    return { ...failure(code, workspace), ...(!isExhausted && { retryAfterMs }) };
  }
}
