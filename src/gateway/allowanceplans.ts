/** Plans of the next write of a shard: the row of this daemon, with the units that it draws. */
import {
  borrowedTarget,
  buildRowLine,
  closePredecessors,
  confirmHolder,
  hasGrantedUnits,
  hasRow,
  isClosedHolder,
  isResolved,
  returnExcess,
  returnIdleUnits,
  viewAllowance,
  withLines,
  withoutFreeUnits,
} from '../allowance/index.js';
import { available } from '../budget/index.js';

import type { AllowanceDraw, AllowanceShard, AllowanceView } from '../allowance/index.js';
import type { Incarnation } from '../kernel/index.js';
import type { AllowanceContext } from './allowancecontext.js';
import type { AllowanceEras } from './allowanceeras.js';
import type { Holdings } from './holdings.js';

/** New content of a shard object, computed but not yet written. */
export interface PlannedWrite {
  readonly shard: AllowanceShard;
  readonly draws: readonly { readonly draw: AllowanceDraw; readonly view: AllowanceView }[];
  /** Earlier incarnations of this instance whose rows it closes. */
  readonly closed: readonly Incarnation[];
}

/** Computes new contents of shards from stored ones. */
export class AllowancePlans {
  /**
   * Creates the plans.
   * @param ctx - current configuration
   * @param holdings - local balances of the units that the rows grant
   * @param eras - what this daemon knows of former eras of the store
   * @param shardOf - returns the shard of a workspace
   */
  constructor(
    private readonly ctx: AllowanceContext,
    private readonly holdings: Holdings,
    private readonly eras: AllowanceEras,
    private readonly shardOf: (workspace: string) => number,
  ) {}

  /**
   * Plans a draw.
   * @param shard - number of the shard
   * @param stored - its content
   * @param hasJoined - whether this daemon has written its row in the current era
   * @returns the new content; undefined if a later incarnation has closed the row of this daemon
   */
  plan(shard: number, stored: AllowanceShard, hasJoined: boolean): PlannedWrite | undefined {
    const { self } = this.ctx;
    if (isClosedHolder(stored, self)) return undefined;
    if (hasJoined) return this.#planLines(shard, stored);
    if (this.eras.hasJoined(shard)) return this.#planReturn(shard, stored);
    // Without a row of its own this daemon waits until units may be drawn.
    if (!isResolved(stored)) return { shard: stored, draws: [], closed: [] };
    // During a stop, the other incarnation may be the successor.
    if (this.ctx.isStopping()) return this.#planLines(shard, stored);
    const current = closePredecessors(stored, self, this.eras.uncopiedShare);
    const closed = stored.rows
      .map(({ holder }) => holder)
      .filter((holder) => !hasRow(current, holder));
    return this.#planLines(shard, current, closed);
  }

  /** Writes the row of this daemon again in a new era of the store. */
  #planReturn(shard: number, stored: AllowanceShard): PlannedWrite | undefined {
    const { self } = this.ctx;
    const isLate = isResolved(stored);
    const confirmed = confirmHolder(stored, this.eras.hearing(shard));
    if (isClosedHolder(confirmed, self)) return undefined;
    // The others may have drawn units while this daemon was given up.
    if (isLate) this.#returnExcess(shard, confirmed);
    return this.#planLines(shard, confirmHolder(confirmed, this.eras.hearing(shard)));
  }

  #returnExcess(shard: number, stored: AllowanceShard): void {
    this.holdings.workspaces
      .filter((workspace) => this.shardOf(workspace) === shard)
      .forEach((workspace) => {
        const paid = this.ctx.paidOf(workspace);
        if (paid === undefined) return;
        const view = viewAllowance(stored, this.ctx.self, workspace, paid);
        this.holdings.set(workspace, returnExcess(this.holdings.of(workspace), view));
      });
  }

  #planLines(
    shard: number,
    currentShard: AllowanceShard,
    closed: readonly Incarnation[] = [],
  ): PlannedWrite {
    const { self, clock } = this.ctx;
    const now = clock.now();
    const draws = this.ctx
      .workspaces()
      .filter((workspace) => this.shardOf(workspace) === shard && this.#needsLine(workspace))
      .flatMap((workspace) => {
        const paid = this.ctx.paidOf(workspace);
        if (paid === undefined) return [];
        const policy = this.ctx.policy(workspace);
        const seen = viewAllowance(currentShard, self, workspace, paid);
        const opened = { ...this.holdings.of(workspace), view: seen };
        // A daemon that is no holder draws when no holder can, and then for its next requests too.
        const kept = this.ctx.holders.isHolder(workspace)
          ? 0
          : borrowedTarget(opened, seen.unspent, now);
        const holding = returnIdleUnits(opened, policy, now, kept);
        this.holdings.set(workspace, holding);
        const view = isResolved(currentShard) ? seen : withoutFreeUnits(seen, holding);
        const lacking = this.holdings.missing(workspace) + kept - available(holding.escrow);
        return [{ draw: buildRowLine(holding, view, lacking, policy, now), view }];
      });
    const lines = draws.map(({ draw }) => draw.line);
    return { shard: withLines(currentShard, self, lines), draws, closed };
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
}
