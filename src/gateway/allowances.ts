/**
 * Prepaid units of this daemon: reserves units for requests, and obtains more when too few are
 * available.
 *
 * Each workspace has holders. A holder is a daemon that draws units from the store into its row of the
 * workspace's shard and keeps some of them available. Other daemons borrow units from holders, and
 * return the units that their requests do not use.
 */
import { once } from 'node:events';

import { isStoreKnownEmpty, hasGrantedUnits, netSpent, needsDraw } from '../allowance/index.js';
import { Err, failure, Ok, waitAtMost } from '../kernel/index.js';
import { AllowanceLoans } from './allowanceloans.js';
import { AllowanceReturns } from './allowancereturns.js';
import { AllowanceRows } from './allowancerows.js';
import { Holdings } from './holdings.js';

import type { Failure, Result } from '../kernel/index.js';
import type { AllowanceContext } from './allowancecontext.js';

/**
 * Interval of the refreshes that check whether units run low, in milliseconds: a fraction of the time
 * for which the units that a daemon keeps available should last.
 */
const REFRESH_INTERVAL_MS = 1_000;

/** Number of refreshes between two log lines that report the available units. */
const REFRESHES_PER_LOG = 5;

/**
 * Time for which a request waits for a draw from the store before it asks peers as well, in
 * milliseconds: several times the usual response time of the store.
 */
const STORE_WAIT_MS = 30;

/** Maximum number of peers that are asked in one round of borrowing. */
const MAX_PEERS = 6;

/** Maximum number of peers that a holder asks before it draws from the store. */
const PEERS_BEFORE_STORE = 2;

/**
 * Retry delay sent to callers whose units cannot be reserved, in milliseconds: meanwhile running
 * requests end and release the units that they did not use.
 */
const RETRY_AFTER_MS = 1_000;

/**
 * Retry delay sent to callers whose units cannot be reserved while the store is unavailable, in
 * milliseconds: the store is usually unavailable for seconds.
 */
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
   * Creates the task; the periodic refresh begins with "start".
   * @param ctx - store, links to peers, and current configuration
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
   * Sets the handler for fencing, which happens when a later incarnation of this instance has closed a
   * row of this one.
   * @param onFenced - ends the process
   */
  whenFenced(onFenced: () => void): void {
    this.#rows.onFenced = onFenced;
  }

  /**
   * Starts the periodic refresh; after a stop nothing is refreshed any more. The first refresh comes after
   * a random part of the interval: daemons that start together would otherwise all write to the same
   * objects at the same time.
   */
  start(): void {
    this.#timer = setTimeout(() => {
      if (this.#holdings.isClosed) return;
      this.refresh();
      this.#timer = setInterval(() => this.refresh(), REFRESH_INTERVAL_MS);
    }, REFRESH_INTERVAL_MS * Math.random());
  }

  /**
   * Writes the rows in which units run low, or much was spent or became idle since the last write, and
   * returns unused borrowed units to holders.
   */
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
    const unsettled = this.#rows.shards.filter((shard) => this.#rows.isUnsettled(shard));
    new Set([...due, ...unsettled]).forEach((shard) => {
      void this.#rows.draw(shard);
    });
  }

  /**
   * Returns units to the store that exceed what the policy keeps available, by writing all rows. While the
   * store is unavailable nothing is written, and the units stay here until {@link Allowances.stop}.
   */
  releaseExcess(): void {
    if (!this.ctx.isStoreUp()) return;
    new Set(this.#holdings.workspaces.map((name) => this.#rows.shardOf(name))).forEach((shard) => {
      void this.#rows.draw(shard);
    });
  }

  /**
   * Reserves the worst-case units of a request.
   * @param workspace - workspace that pays
   * @param units - maximum number of units that the request can use
   * @param waitMs - time after which the request stops waiting for a draw from the store, in
   * milliseconds; peers that are being asked by then may still reply
   * @param signal - cancels the wait, for example when the caller has disconnected
   * @returns nothing, or the reason why the units cannot be reserved
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
    // A draw from the store may end the shortage at any time, if the store can be reached.
    if (!this.ctx.isStoreUp() && this.#loans.isKnownShort(workspace, units)) {
      return Err(this.#shortageFailure(workspace, units, paid));
    }
    this.#holdings.adjustMissing(workspace, units);
    try {
      if (await this.#acquire(workspace, units, waitMs, signal)) return Ok(undefined);
    } finally {
      this.#holdings.adjustMissing(workspace, -units);
    }
    return Err(this.#shortageFailure(workspace, units, paid));
  }

  /**
   * Settles a reservation: charges the units that were used and releases the others.
   * @param workspace - workspace that pays
   * @param reserved - units that were reserved
   * @param used - units that were used
   */
  settle(workspace: string, reserved: number, used: number): void {
    this.#holdings.settle(workspace, reserved, used);
    void this.#returns.returnLeftover(workspace);
  }

  /**
   * Returns all unspent units before the process ends: to the store, or to another daemon if they are borrowed
   * or the store is unavailable.
   */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#holdings.isClosed = true;
    const ended = this.#rows.end((shard) => {
      const ofShard = this.#holdings.workspaces.filter(
        (name) => this.#rows.shardOf(name) === shard,
      );
      return this.#returns.handOver(ofShard);
    });
    await Promise.all([ended, this.#returnBorrowed()]);
  }

  /** Transfers the borrowed units of workspaces in whose row this daemon has none: the close of the row does not free them. */
  async #returnBorrowed(): Promise<void> {
    const left = this.#holdings.workspaces.filter(
      (name) => !hasGrantedUnits(this.#holdings.of(name)) && this.#holdings.lendableUnits(name) > 0,
    );
    if (left.length > 0) await this.#returns.handOver(left);
  }

  /** Logs the available units every few refreshes, so that units which stay unused can be seen. */
  #logTotals(): void {
    this.#refreshes += 1;
    if (this.#refreshes % REFRESHES_PER_LOG !== 0) return;
    const totals = this.#holdings.totals((workspace) => this.ctx.holders.isHolder(workspace));
    this.ctx.recorder.record('allowancesHeld', { facts: { ...totals } });
  }

  /**
   * Draws units for a peer that is missing more units than are available here. Waits only briefly for the
   * store, as the peer waits for the reply.
   */
  async #drawForPeer(workspace: string): Promise<void> {
    if (!this.ctx.isStoreUp()) return;
    await waitAtMost(this.#draw(workspace), STORE_WAIT_MS);
  }

  /**
   * Draws units for a request, unless a draw shortly before found no free units (see
   * `isStoreKnownEmpty`).
   * @returns whether a draw was written to the store
   */
  #draw(workspace: string): Promise<boolean> {
    const isStoreDrained = isStoreKnownEmpty(this.#holdings.of(workspace), this.ctx.clock.now());
    return isStoreDrained ? Promise.resolve(false) : this.#rows.draw(this.#rows.shardOf(workspace));
  }

  /**
   * Whether refreshes keep the line of the workspace up to date: the row grants units, or this daemon is
   * a holder of the workspace.
   */
  #maintainsLine(workspace: string): boolean {
    return hasGrantedUnits(this.#holdings.of(workspace)) || this.ctx.holders.isHolder(workspace);
  }

  /**
   * Asks peers and the store in turn until the units are reserved, the time limit has passed or the
   * request is cancelled.
   * @returns whether the units are reserved
   */
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
    // A holder asks peers with a surplus first: they reply as fast as the store and save a call to it.
    const isHolder = this.ctx.holders.isHolder(workspace);
    if (!isHolder || this.#loans.hasPeerWithSurplus(workspace, units)) {
      const borrowed = this.#loans.borrow(workspace, isHolder ? PEERS_BEFORE_STORE : MAX_PEERS);
      await Promise.race([borrowed, ...cancellations]);
    }
    if (isCancelled()) return false;
    if (reserved()) return true;
    // A holder that replied has already tried to draw from the store for this request.
    if (!isHolder && this.#loans.hasHolderAnswered(workspace)) return false;
    const drawn = this.#draw(workspace);
    if (this.ctx.isStoreUp())
      await Promise.race([waitAtMost(drawn, STORE_WAIT_MS), ...cancellations]);
    if (isCancelled()) return false;
    if (reserved()) return true;
    await Promise.race([this.#loans.borrow(workspace, MAX_PEERS), ...cancellations]);
    if (isCancelled()) return false;
    if (reserved()) return true;
    // Also after the deadline: the answer of the store may wait unread.
    const remainingMs = deadline - this.ctx.clock.now();
    await Promise.race([waitAtMost(drawn, remainingMs), ...cancellations]);
    return !isCancelled() && reserved();
  }

  /**
   * Returns the failure for a request whose units could not be reserved. The budget counts as exhausted
   * only if the last known unspent units of all daemons together are fewer than the request needs;
   * otherwise the units are out of reach for now, and the caller gets a retry delay.
   */
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
