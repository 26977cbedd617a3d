/**
 * Rows of this daemon in the shard objects of the store. Writing a row draws units and reports what
 * was spent; at a stop the rows are closed.
 */
import {
  allowanceShardOf,
  applyWrittenLine,
  closeRow,
  confirmHolder,
  hasRow,
  isResolved,
  parseAllowances,
  rowGrant,
} from '../allowance/index.js';
import { available } from '../budget/index.js';
import { AllowanceCopies } from './allowancecopies.js';
import { AllowanceEras } from './allowanceeras.js';
import { AllowancePlans } from './allowanceplans.js';

import type { AllowanceDraw, AllowanceShard } from '../allowance/index.js';
import type { StoredObject, StoreError } from '../store/index.js';
import type { AllowanceContext } from './allowancecontext.js';
import type { PlannedWrite } from './allowanceplans.js';
import type { Holdings } from './holdings.js';

/** Maximum number of conditional writes in one update, if writes of other daemons conflict with it. */
const MAX_WRITE_ATTEMPTS = 6;

/** Time after which an invalid shard object is read again, in milliseconds: bounds calls and log lines. */
const INVALID_RETRY_MS = 1_000;

/** Time after which a shard with unheard daemons is read again, in milliseconds. */
const UNRESOLVED_RETRY_MS = 250;

/** Age of the oldest copy that a store with eras comes back from, in milliseconds. */
const COPY_AGE_MS = 10_000;

/** Result of one attempt to write a shard object; "conflict" may be tried again. */
type WriteOutcome = 'written' | 'conflict' | 'failed';

/**
 * Reads and writes the rows of this daemon in the shard objects, and caches each object as last read
 * or written.
 */
export class AllowanceRows {
  readonly #objects = new Map<number, StoredObject>();

  /** Shards in which this daemon has written a row. */
  readonly #joinedShards = new Set<number>();

  /** Time until which a shard object that cannot be used yet is not read again, in milliseconds. */
  readonly #pausedUntil = new Map<number, number>();

  readonly #eras: AllowanceEras;

  #era: number | undefined;

  readonly #plans: AllowancePlans;

  readonly #copies: AllowanceCopies;

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
  ) {
    this.#eras = new AllowanceEras(ctx, holdings, (workspace) => this.shardOf(workspace));
    this.#plans = new AllowancePlans(ctx, holdings, this.#eras, (workspace) =>
      this.shardOf(workspace),
    );
    this.#copies = new AllowanceCopies(ctx, COPY_AGE_MS);
    this.#era = this.#eras.current;
    ctx.store.era.onRise(() => this.#rise());
  }

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
    // A store may begin to state its era.
    if (this.#era !== this.#eras.current) this.#rise();
    const running = this.#runningDraws.get(shard);
    if (running) return running;
    const isPaused = this.ctx.clock.now() < (this.#pausedUntil.get(shard) ?? 0);
    if (this.holdings.isClosed || isPaused) return Promise.resolve(false);
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
    const joined = this.shards.filter(
      (shard) => this.#joinedShards.has(shard) || this.#eras.hasJoined(shard),
    );
    await Promise.all(joined.map((shard) => this.#end(shard, handOver)));
  }

  async #end(shard: number, handOver: (shard: number) => Promise<void>): Promise<void> {
    this.#objects.delete(shard);
    const object = await this.#read(this.#eras.keyOf(shard));
    if (object) this.#objects.set(shard, object);
    const isForgotten = this.#eras.current !== undefined && object?.version === 0;
    if (!object || isForgotten) await handOver(shard);
    if (!isForgotten) await this.#closeShardRow(shard);
  }

  /**
   * Returns whether the store shows nothing certain of a shard in its current era.
   * @param shard - number of the shard
   * @returns whether the row must be written again, or daemons are unheard
   */
  isUnsettled(shard: number): boolean {
    return this.#isForgotten(shard) || this.#eras.isWaiting(shard);
  }

  /** Whether this daemon has a row that the current era does not show yet. */
  #isForgotten(shard: number): boolean {
    return this.#eras.hasJoined(shard) && !this.#joinedShards.has(shard);
  }

  /** Numbers of all shards. */
  get shards(): readonly number[] {
    return Array.from({ length: this.ctx.shards }, (_, shard) => shard);
  }

  /** Forgets what the store showed in its former era; the rows of this daemon have to be written again. */
  #rise(): void {
    this.#era = this.#eras.current;
    this.#objects.clear();
    this.#joinedShards.clear();
    this.#pausedUntil.clear();
    this.#eras.rise();
  }

  #planDraw(shard: number, stored: AllowanceShard): PlannedWrite | undefined {
    const hasJoined = this.#joinedShards.has(shard);
    const isClosed = hasJoined && !hasRow(stored, this.ctx.self);
    const planned = isClosed ? undefined : this.#plans.plan(shard, stored, hasJoined);
    if (!planned) this.#fence(shard);
    return planned;
  }

  /**
   * Writes a shard object on condition that its version is unchanged. After a conflict, the new content
   * is computed again from the current object.
   */
  async #update(
    shard: number,
    plan: (stored: AllowanceShard) => PlannedWrite | undefined,
  ): Promise<boolean> {
    for (let write = 0; write < MAX_WRITE_ATTEMPTS; write += 1) {
      // eslint-disable-next-line no-await-in-loop
      const outcome = await this.#tryUpdate(shard, plan);
      if (outcome !== 'conflict') return outcome === 'written';
    }
    return false;
  }

  async #tryUpdate(
    shard: number,
    plan: (stored: AllowanceShard) => PlannedWrite | undefined,
  ): Promise<WriteOutcome> {
    const era = this.#eras.current;
    const key = this.#eras.keyOf(shard);
    const object = this.#objects.get(shard) ?? (await this.#read(key));
    const parsed = object && this.#parse(shard, object);
    if (!object || !parsed) return 'failed';
    if (era !== this.#eras.current) return this.#pause(shard);
    this.#eras.note(shard, parsed);
    const stored =
      era === undefined ? parsed : await this.#eras.prepare(shard, object.version, parsed);
    if (!stored || era !== this.#eras.current) return this.#pause(shard);
    if (stored === parsed && this.#hasNothingToSay(shard, stored)) return this.#pause(shard);
    const planned = plan(stored);
    if (!planned) return 'failed';
    const next = era === undefined ? planned.shard : this.#eras.number(planned.shard, parsed);
    const written = await this.ctx.store.write(key, next, object.version);
    // An answer from the former era says nothing about the current one.
    if (era !== this.#eras.current) return 'failed';
    if (written.err) return this.#mayRetryWrite(shard, written.val) ? 'conflict' : 'failed';
    this.#objects.set(shard, { key, version: written.val, value: next });
    if (era === undefined) this.#applyDraws(shard, planned, true);
    else await this.#applyInEra(shard, era, { ...planned, shard: next });
    return 'written';
  }

  /** Applies a written shard of a store with eras once peers keep a copy of it. */
  async #applyInEra(shard: number, era: number, planned: PlannedWrite): Promise<void> {
    this.#eras.note(shard, planned.shard);
    if (!isResolved(planned.shard)) {
      this.#objects.delete(shard);
      this.#pause(shard);
    }
    const isGain = planned.draws.some(
      ({ draw }) => draw.grant > rowGrant(this.holdings.of(draw.line.workspace).escrow),
    );
    const isEnd = isResolved(planned.shard) && !hasRow(planned.shard, this.ctx.self);
    const needsCopy = isGain || isEnd;
    const isCopied = !needsCopy || (await this.#copies.copy(shard, planned.shard));
    if (era !== this.#eras.current) return;
    const isReturn = !this.#joinedShards.has(shard) && this.#eras.hasJoined(shard);
    if (hasRow(planned.shard, this.ctx.self)) this.#eras.joined(shard, planned.closed);
    this.#applyDraws(shard, planned, isCopied);
    if (!isReturn) return;
    const facts = { shard, era, lines: planned.draws.length };
    this.ctx.metrics?.allowanceEras.inc({ change: 'restored' });
    this.ctx.recorder.record('allowanceRestored', { facts });
  }

  /** Whether a write would change nothing: nobody was heard, and this daemon has no row to write again. */
  #hasNothingToSay(shard: number, stored: AllowanceShard): boolean {
    return !isResolved(stored) && !this.#isForgotten(shard) && !this.holdings.isClosed;
  }

  #pause(shard: number): 'failed' {
    this.#pausedUntil.set(shard, this.ctx.clock.now() + UNRESOLVED_RETRY_MS);
    return 'failed';
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
      this.#pausedUntil.set(shard, this.ctx.clock.now() + INVALID_RETRY_MS);
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

  /** Units of a draw that may be used: without a copy at a peer, only few of them. */
  #usable({ line, grant }: AllowanceDraw, isCopied: boolean): AllowanceDraw {
    const held = rowGrant(this.holdings.of(line.workspace).escrow);
    if (isCopied || grant <= held) return { line, grant };
    const limit = (this.ctx.paidOf(line.workspace) ?? 0) * this.#eras.uncopiedShare;
    const taken = this.#copies.takeUncopied(line.workspace, grant - held, limit);
    const facts = { units: grant - held, usable: taken };
    this.ctx.metrics?.allowanceEras.inc({ change: 'uncopied' });
    this.ctx.recorder.record('allowanceUncopied', { budget: line.workspace, facts });
    return { line, grant: held + taken };
  }

  #applyDraws(shard: number, planned: PlannedWrite, isCopied: boolean): void {
    if (hasRow(planned.shard, this.ctx.self)) this.#joinedShards.add(shard);
    planned.draws.forEach(({ draw, view }) => {
      const { workspace, spent } = draw.line;
      const before = this.holdings.of(workspace);
      const usable = this.#usable(draw, isCopied);
      const granted = usable.grant;
      const holding = applyWrittenLine(before, usable, view, this.ctx.clock.now());
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

  async #closeShardRow(shard: number): Promise<boolean> {
    const { self } = this.ctx;
    const spent = this.holdings.spentAtClose();
    return this.#update(shard, (stored) => {
      const current = this.#eras.hasJoined(shard)
        ? confirmHolder(stored, this.#eras.hearing(shard))
        : stored;
      return { shard: closeRow(current, self, spent), draws: [], closed: [] };
    });
  }
}
