/**
 * Rows of this daemon in the shard objects of the store. Writing a row draws units and reports what
 * was spent; at a stop the rows are closed.
 */
import {
  allowanceShardOf,
  borrowedTarget,
  closeEarlierIncarnations,
  closeRow,
  buildRowLine,
  hasRow,
  hasGrantedUnits,
  parseAllowances,
  applyWrittenLine,
  rowGrant,
  returnIdleUnits,
  viewAllowance,
  withLines,
} from '../allowance/index.js';
import { available } from '../budget/index.js';

import type { AllowanceDraw, AllowanceShard, AllowanceView } from '../allowance/index.js';
import type { StoredObject, StoreError } from '../store/index.js';
import type { AllowanceContext } from './allowancecontext.js';
import type { Holdings } from './holdings.js';

/** Maximum number of conditional writes in one update, if writes of other daemons conflict with it. */
const MAX_WRITE_ATTEMPTS = 6;

/** Time after which an invalid shard object is read again, in milliseconds: bounds calls and log lines. */
const INVALID_RETRY_MS = 1_000;

/** New content of a shard object, computed but not yet written. */
interface PlannedWrite {
  readonly shard: AllowanceShard;
  readonly draws: readonly { readonly draw: AllowanceDraw; readonly view: AllowanceView }[];
}

function shardKey(shard: number): string {
  return `allowances/shard-${shard}`;
}

/**
 * Reads and writes the rows of this daemon in the shard objects, and caches each object as last read
 * or written.
 */
export class AllowanceRows {
  readonly #objects = new Map<number, StoredObject>();

  /** Shards in which this daemon has written a row. */
  readonly #joinedShards = new Set<number>();

  /** Time until which an invalid shard object is not read again, in milliseconds. */
  readonly #invalidUntil = new Map<number, number>();

  readonly #runningDraws = new Map<number, Promise<boolean>>();

  /** Called when a later incarnation of this instance has closed a row of this one. */
  onFenced: () => void = () => undefined;

  /**
   * Creates the rows; nothing is written before the first draw.
   * @param ctx - store and current configuration
   * @param holdings - local balances of the units that the rows grant
   */
  constructor(
    private readonly ctx: AllowanceContext,
    private readonly holdings: Holdings,
  ) {}

  /**
   * Returns the shard of a workspace.
   * @param workspace - the workspace
   * @returns number of the shard
   */
  shardOf(workspace: string): number {
    return allowanceShardOf(workspace, this.ctx.shards);
  }

  /**
   * Draws units for all workspaces of a shard by writing the row of this daemon. Concurrent calls share
   * one draw.
   * @param shard - number of the shard
   * @returns whether the draw was written to the store
   */
  draw(shard: number): Promise<boolean> {
    const running = this.#runningDraws.get(shard);
    if (running) return running;
    const isInvalid = this.ctx.clock.now() < (this.#invalidUntil.get(shard) ?? 0);
    if (this.holdings.isClosed || isInvalid) return Promise.resolve(false);
    const drawing = this.#update(shard, (stored) => this.#planDraw(shard, stored)).finally(() => {
      this.#runningDraws.delete(shard);
    });
    this.#runningDraws.set(shard, drawing);
    return drawing;
  }

  /**
   * Closes the rows, so that unspent units become free in the store. Whether the store is available is
   * tested by a read: if the closing write itself were the test and only its answer were lost, the units
   * would be free in the store and transferred to a peer as well.
   * @param handOver - transfers the available units of a shard's workspaces to a peer; called before the
   * row is closed if the store is unavailable
   */
  async end(handOver: (shard: number) => Promise<void>): Promise<void> {
    await Promise.all([...this.#runningDraws.values()]);
    await Promise.all([...this.#joinedShards].map((shard) => this.#end(shard, handOver)));
  }

  async #end(shard: number, handOver: (shard: number) => Promise<void>): Promise<void> {
    this.#objects.delete(shard);
    const object = await this.#read(shardKey(shard));
    if (object) this.#objects.set(shard, object);
    else await handOver(shard);
    await this.#closeShardRow(shard);
  }

  #planDraw(shard: number, stored: AllowanceShard): PlannedWrite | undefined {
    const { self, clock } = this.ctx;
    const hasJoined = this.#joinedShards.has(shard);
    if (hasJoined && !hasRow(stored, self)) {
      this.#fence(shard);
      return undefined;
    }
    const now = clock.now();
    // During a stop, the other incarnation may be the successor.
    const keepsRows = hasJoined || this.ctx.isStopping();
    const currentShard = keepsRows ? stored : closeEarlierIncarnations(stored, self);
    const draws = this.ctx
      .workspaces()
      .filter((workspace) => this.shardOf(workspace) === shard && this.#needsLine(workspace))
      .flatMap((workspace) => {
        const paid = this.ctx.paidOf(workspace);
        if (paid === undefined) return [];
        const policy = this.ctx.policy(workspace);
        const view = viewAllowance(currentShard, self, workspace, paid);
        const holding = returnIdleUnits({ ...this.holdings.of(workspace), view }, policy, now);
        this.holdings.set(workspace, holding);
        // A daemon that is no holder draws when no holder can, and then for its next requests too.
        const kept = this.ctx.holders.isHolder(workspace)
          ? 0
          : borrowedTarget(holding, view.unspent, now);
        const lacking = this.holdings.missing(workspace) + kept - available(holding.escrow);
        return [{ draw: buildRowLine(holding, view, lacking, policy, now), view }];
      });
    const lines = draws.map(({ draw }) => draw.line);
    return { shard: withLines(currentShard, self, lines), draws };
  }

  /**
   * Whether the row needs a line for the workspace: this daemon is a holder, its row grants units, or
   * requests wait for units.
   */
  #needsLine(workspace: string): boolean {
    const isNeeded = this.holdings.missing(workspace) > 0;
    return (
      hasGrantedUnits(this.holdings.of(workspace)) ||
      isNeeded ||
      this.ctx.holders.isHolder(workspace)
    );
  }

  /**
   * Writes a shard object on condition that its version is unchanged. After a conflict, the new content
   * is computed again from the current object.
   */
  async #update(
    shard: number,
    plan: (stored: AllowanceShard) => PlannedWrite | undefined,
  ): Promise<boolean> {
    const key = shardKey(shard);
    for (let write = 0; write < MAX_WRITE_ATTEMPTS; write += 1) {
      // eslint-disable-next-line no-await-in-loop
      const object = this.#objects.get(shard) ?? (await this.#read(key));
      if (!object) return false;
      const stored = this.#parse(shard, object);
      const planned = stored && plan(stored);
      if (!planned) return false;
      // eslint-disable-next-line no-await-in-loop
      const written = await this.ctx.store.write(key, planned.shard, object.version);
      if (written.ok) {
        this.#objects.set(shard, { key, version: written.val, value: planned.shard });
        this.#applyDraws(shard, planned);
        return true;
      }
      if (!this.#mayRetryWrite(shard, written.val)) return false;
    }
    return false;
  }

  /**
   * Returns whether a failed write may be retried: only after a conflict. Caches the current object if
   * the conflict returned it; otherwise the next attempt reads the object again.
   */
  #mayRetryWrite(shard: number, err: StoreError): boolean {
    if (err.problem === 'conflict' && err.current) {
      this.#objects.set(shard, err.current);
      return true;
    }
    this.#objects.delete(shard);
    if (err.problem === 'conflict') return true;
    this.#recordStoreFailure(err);
    return false;
  }

  /**
   * Parses a shard object. One that is invalid grants no units, as those that its rows granted are not known; it is read
   * again after a while.
   */
  #parse(shard: number, { key, value }: StoredObject): AllowanceShard | undefined {
    try {
      return parseAllowances(value);
    } catch (err) {
      this.#objects.delete(shard);
      this.#invalidUntil.set(shard, this.ctx.clock.now() + INVALID_RETRY_MS);
      const detail = `not an allowance shard, so its units cannot be drawn; restore the object: ${String(err)}`;
      this.ctx.recorder.record('allowanceDelayed', { detail, facts: { key, problem: 'invalid' } });
      return undefined;
    }
  }

  async #read(key: string): Promise<StoredObject | undefined> {
    const found = await this.ctx.store.read(key);
    if (found.ok) return found.val;
    this.#recordStoreFailure(found.val);
    return undefined;
  }

  #recordStoreFailure({ key, problem, text }: StoreError): void {
    this.ctx.recorder.record('allowanceDelayed', { detail: text, facts: { key, problem } });
  }

  #applyDraws(shard: number, { draws }: PlannedWrite): void {
    this.#joinedShards.add(shard);
    draws.forEach(({ draw, view }) => {
      const { workspace, granted, spent } = draw.line;
      const before = this.holdings.of(workspace);
      const holding = applyWrittenLine(before, draw, view, this.ctx.clock.now());
      this.holdings.set(workspace, holding);
      const gained = granted - rowGrant(before.escrow);
      if (gained <= 0) return;
      const { escrow } = holding;
      const facts = {
        gained,
        granted,
        spent,
        ready: available(escrow),
        reserved: escrow.reserved,
        free: view.free - granted,
        unspent: view.unspent,
        retired: view.retired,
        held: view.others.reduce((sum, { held }) => sum + held, 0),
        rows: view.others.length,
        paid: this.ctx.paidOf(workspace) ?? 0,
      };
      this.ctx.recorder.record('allowanceDrawn', { budget: workspace, facts });
    });
  }

  /**
   * Stops all spending of this daemon: a later incarnation of the instance has closed a row of this one,
   * and the closed row grants no units.
   */
  #fence(shard: number): void {
    if (this.holdings.isClosed) return;
    this.holdings.isClosed = true;
    this.ctx.recorder.record('allowanceFenced', { detail: `shard ${shard}` });
    this.onFenced();
  }

  #closeShardRow(shard: number): Promise<boolean> {
    const spent = this.holdings.spentAtClose();
    return this.#update(shard, (stored) => ({
      shard: closeRow(stored, this.ctx.self, spent),
      draws: [],
    }));
  }
}
