/** Executes operators' commands on plans by updating the stored plan. */
import { Err, failure, Ok } from '../kernel/index.js';
import { declarePlan, applyPlanAction, parsePlan, planKey } from '../plan/index.js';
import { updateObject } from '../store/index.js';

import type { Failure, Incarnation, Result } from '../kernel/index.js';
import type { PlanAction, PlanActionResult, PlanState } from '../plan/index.js';
import type { ObjectStore } from '../store/index.js';
import type { ConfigTask } from './configtask.js';
import type { PlanFollower } from './planfollower.js';

/** Dependencies of the plan operations. */
export interface PlanOperationsContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly config: ConfigTask;
  readonly follower: PlanFollower;
}

/** An operator's command on one plan. */
export interface PlanActionRequest {
  readonly name: string;
  readonly action: PlanAction;
  readonly operation: string;
}

/** Lists plans and executes commands on them. */
export class PlanOperations {
  /**
   * Creates the operations of one daemon.
   * @param ctx - store, configuration and the plans known to this daemon
   */
  constructor(private readonly ctx: PlanOperationsContext) {}

  /**
   * Lists the plans.
   * @returns every plan in the store; during an outage, the plans as last confirmed
   */
  async list(): Promise<readonly PlanState[]> {
    await this.ctx.follower.confirm();
    const plans = [...this.ctx.follower.known.values()].map(({ plan }) => plan);
    return plans.sort((a, b) => (a.document.name < b.document.name ? -1 : 1));
  }

  /**
   * Executes a command, once for each operation id.
   * @param request - the command
   * @returns the plan and whether the command was a repeat
   */
  async order(request: PlanActionRequest): Promise<Result<PlanActionResult, Failure>> {
    const { store, config, follower, self } = this.ctx;
    const published = config.current?.documents.plans.find(({ name }) => name === request.name);
    const kind = { key: planKey(request.name), parse: parsePlan };
    const done = await updateObject(store, kind, (found) =>
      applyPlanAction(found ?? (published ? declarePlan(published, self) : null), request),
    );
    if (done.err) return Err(failure('store-unavailable', done.val.text, 'unknown'));
    await follower.confirm();
    if (done.val.result === 'unknown') return Err(failure('not-found', `plan ${request.name}`));
    if (done.val.result === 'too-late') {
      return Err(failure('invalid', `plan ${request.name} can no longer be changed: see "plans"`));
    }
    return Ok(done.val);
  }
}
