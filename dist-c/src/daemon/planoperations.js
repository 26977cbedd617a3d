/** Operators' commands about plans, carried out against the store. */
import { Err, failure, Ok } from '../kernel/index.js';
import { declarePlan, orderPlan, parsePlan, planKey } from '../plan/index.js';
import { updateObject } from '../platform/index.js';
/** Lists plans and changes them. */
export class PlanOperations {
    ctx;
    /**
     * Creates the operations of one daemon.
     * @param ctx - store, configuration and what is known of the plans
     */
    constructor(ctx) {
        this.ctx = ctx;
    }
    /**
     * Lists the plans.
     * @returns every plan of the store, or as last confirmed during an outage
     */
    async list() {
        await this.ctx.follower.confirm();
        const plans = [...this.ctx.follower.known.values()].map(({ plan }) => plan);
        return plans.sort((a, b) => (a.document.name < b.document.name ? -1 : 1));
    }
    /**
     * Carries out a command, once for each operation id.
     * @param ask - the command
     * @returns the plan and whether the operation id was known before
     */
    async order(ask) {
        const { store, config, follower, self } = this.ctx;
        const published = config.current?.documents.plans.find(({ name }) => name === ask.name);
        const kind = { key: planKey(ask.name), parse: parsePlan };
        const done = await updateObject(store, kind, (found) => orderPlan(found ?? (published ? declarePlan(published, self) : null), ask));
        if (done.err)
            return Err(failure('store-unavailable', done.val.text, 'unknown'));
        await follower.confirm();
        if (done.val.result === 'unknown')
            return Err(failure('not-found', `plan ${ask.name}`));
        if (done.val.result === 'too-late') {
            return Err(failure('invalid', `plan ${ask.name} can no longer be changed: see "plans"`));
        }
        return Ok(done.val);
    }
}
//# sourceMappingURL=planoperations.js.map