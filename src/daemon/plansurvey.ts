/** Counts the open work that a plan waits for, and closes workspaces. */
import { parseShard, shardKey } from '../budget/index.js';

import type { BudgetShard, HolderEntry } from '../budget/index.js';
import type { Incarnation } from '../kernel/index.js';
import type { PeerMessageOf, PeerNetwork } from '../link/index.js';
import type { PlanEvent, PlanState } from '../plan/index.js';
import type { ObjectStore } from '../store/index.js';
import type { ActiveRequests } from './activerequests.js';
import type { Charges } from './charges.js';
import type { ConfigTask } from './configtask.js';
import type { BudgetOperations } from './budgetoperations.js';
import type { PlanFollower } from './planfollower.js';
import type { OpenRequests } from './servingcontext.js';

/** Dependencies of the survey. */
export interface PlanSurveyContext {
  readonly self: Incarnation;
  readonly config: ConfigTask;
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
  readonly follower: PlanFollower;
  readonly open: OpenRequests;
  readonly active: ActiveRequests;
  readonly charges: Charges;
  readonly operations: BudgetOperations;
}

function isHolderOf(shard: BudgetShard, workspace: string): (entry: HolderEntry) => boolean {
  const own = shard.budgets.filter((budget) => budget.workspace === workspace);
  const rowHolders = new Set(own.flatMap((budget) => budget.rows.map(({ holder }) => holder)));
  return ({ holder }) => rowHolders.has(holder);
}

/** Answers surveys and writes closing statements. */
export class PlanSurvey {
  /**
   * Creates the task and registers the handler for survey requests of plan executors.
   * @param ctx - open work, charges and store
   */
  constructor(private readonly ctx: PlanSurveyContext) {
    ctx.network.handle('survey-plan', (ask) => this.survey(ask));
  }

  /**
   * Returns whether this daemon knows a plan, and its open work for it.
   * @param ask - plan and version
   * @returns whether the plan is known at this version or a later one, and the open work
   */
  async survey(ask: PeerMessageOf<'survey-plan'>): Promise<PeerMessageOf<'plan-surveyed'>> {
    const { follower, open } = this.ctx;
    if ((follower.known.get(ask.plan)?.version ?? 0) < ask.version) await follower.confirm();
    const found = follower.known.get(ask.plan);
    if (!found || found.version < ask.version) {
      return { type: 'plan-surveyed', aware: false, open: 0 };
    }
    const { document } = found.plan;
    const count =
      document.kind === 'upstream'
        ? open.at(document.upstream)
        : await this.#openWorkOf(document.workspace);
    return { type: 'plan-surveyed', aware: true, open: count };
  }

  /**
   * Writes the closing statement of a workspace; a repetition writes the same statement.
   * @param plan - plan of the workspace
   * @returns totals of the statement, or "stopped" if it could not be written
   */
  async closeWorkspace(plan: PlanState): Promise<PlanEvent> {
    const { operations, store } = this.ctx;
    if (plan.document.kind !== 'workspace') return { type: 'stopped' };
    const { workspace } = plan.document;
    const unlisted = await this.unlistedHolders(workspace);
    if (!unlisted || unlisted.length > 0) return { type: 'stopped' };
    const lines = await operations.statement(workspace);
    const budgets = await operations.budgets();
    if (lines.err || budgets.err) return { type: 'stopped' };
    const units = lines.val.reduce((sum, line) => sum + line.units, 0);
    const own = budgets.val.filter((budget) => budget.workspace === workspace);
    const refund = own.reduce((sum, { paid, spent }) => sum + paid - spent, 0);
    const statement = `statements/${workspace}`;
    const charges = lines.val.length;
    const value = { workspace, charges, units, refund, budgets: own };
    const found = await store.read(statement);
    if (found.err) return { type: 'stopped' };
    const written = await store.write(statement, value, found.val.version);
    if (written.err) return { type: 'stopped' };
    return { type: 'closed', closing: { statement, charges, units, refund } };
  }

  /**
   * Lists the budget holders that have not ended but that no survey reaches, because the platform
   * does not list them: they may still dispatch, and may have charges that are not in the store.
   * @param workspace - restricts the list to holders of budgets of this workspace; absent for all
   * @returns their incarnations; undefined if the store did not answer
   */
  async unlistedHolders(workspace?: string): Promise<readonly Incarnation[] | undefined> {
    const { config, store, network, self } = this.ctx;
    const shardCount = config.current?.manifest.budgetShards ?? 0;
    const keys = Array.from({ length: shardCount }, (_, shard) => shardKey(shard));
    const found = await Promise.all(keys.map((key) => store.read(key)));
    if (found.some(({ err }) => err)) return undefined;
    const storedShards = found.flatMap((result) =>
      result.ok ? [parseShard(result.val.value)] : [],
    );
    const listed = network.peers().map(({ name }) => network.incarnationOf(name));
    const surveyed = new Set([self, ...listed]);
    return storedShards.flatMap((shard) => {
      const holders = shard.holders.filter(
        ({ holder, state }) => !surveyed.has(holder) && state !== 'ended',
      );
      const own = workspace === undefined ? holders : holders.filter(isHolderOf(shard, workspace));
      return own.map(({ holder }) => holder);
    });
  }

  /** Counts the open requests of a workspace; 1 if only a charge is not yet in the store. */
  async #openWorkOf(workspace: string): Promise<number> {
    const { active, charges } = this.ctx;
    const open = active.countOf(workspace);
    if (open > 0) return open;
    await charges.flush();
    const unsettled = charges.pending.some(({ lines }) =>
      lines.some((line) => line.workspace === workspace),
    );
    return unsettled ? 1 : 0;
  }
}
