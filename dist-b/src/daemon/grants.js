/** Draws grants from the store, one draw at a time for each budget. */
import { grant, parseShard, shardKey, shardOf } from '../budget/index.js';
import { failure } from '../kernel/index.js';
import { updateObject } from '../platform/index.js';
/** Times the needed units that one draw asks for. */
const DRAW_FACTOR = 8;
/** Draws units for the escrows. */
export class Grants {
    ctx;
    #running = new Map();
    /**
     * Creates the drawer.
     * @param ctx - store, escrows and identity
     */
    constructor(ctx) {
        this.ctx = ctx;
    }
    /**
     * Draws units for a budget; calls that come while a draw runs share it.
     * @param budget - budget name
     * @param needed - least units that are of use
     * @returns why nothing was drawn; undefined after a draw
     */
    draw(budget, needed) {
        const running = this.#running.get(budget);
        if (running)
            return running;
        const draw = this.#draw(budget, needed).finally(() => this.#running.delete(budget));
        this.#running.set(budget, draw);
        return draw;
    }
    async #draw(budget, needed) {
        const { self, store, budgets, config, recorder } = this.ctx;
        const shards = config.current?.manifest.budgetShards ?? 1;
        const { escrow } = await budgets.ask({ type: 'read', budget });
        const ask = {
            holder: self,
            backup: this.ctx.backup(),
            budget,
            granted: escrow.granted,
            needed,
            wanted: needed * DRAW_FACTOR,
        };
        const kind = { key: shardKey(shardOf(budget, shards)), parse: parseShard };
        const answer = await updateObject(store, kind, (shard) => grant(shard, ask));
        if (answer.err)
            return failure('budget-unreachable', budget);
        await budgets.ask({ type: 'receive', budget, granted: answer.val.granted });
        if (answer.val.granted > escrow.granted) {
            recorder.record('grantDrawn', { budget, detail: String(answer.val.granted) });
            return undefined;
        }
        recorder.record('grantRefused', { budget, detail: `${answer.val.left} left` });
        return failure('budget-exhausted', budget);
    }
}
//# sourceMappingURL=grants.js.map