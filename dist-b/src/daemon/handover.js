/** Hands over what a stopping daemon owes the store, and delivers what others handed over. */
import { setTimeout as delay } from 'node:timers/promises';
import { parseShard, acceptReturns, shardKey, shardOf } from '../budget/index.js';
import { rendezvous } from '../kernel/index.js';
import { updateObject } from '../platform/index.js';
import { deliverLines } from './delivery.js';
/** Interval between deliveries of what was taken over, in milliseconds. */
const DELIVER_MS = 1_000;
/** Delay before a stopping daemon tries the store and its peers again, in milliseconds. */
const RETRY_MS = 250;
/** Longest wait for a peer that takes over, in milliseconds. */
const HAND_OVER_MS = 1_000;
/** Peers that take over the same debt, so that one of them may be lost. */
const HEIRS = 2;
/** Owns the debts to the store that this daemon took over. */
export class Handover {
    ctx;
    #taken = [];
    #timer;
    #delivering;
    #closed = false;
    /**
     * Creates the task and answers peers that stop.
     * @param ctx - store, budgets, charges and peers
     */
    constructor(ctx) {
        this.ctx = ctx;
        ctx.network.handle('hand-over', (debt, from) => {
            if (this.#closed)
                return { type: 'handed-over', accepted: false };
            this.#taken = [...this.#taken.filter(({ holder }) => holder !== debt.holder), debt];
            ctx.recorder.record('handoverTaken', { peer: from });
            return { type: 'handed-over', accepted: true };
        });
    }
    /** Begins to deliver at intervals what peers hand over. */
    start() {
        this.#timer = setInterval(() => {
            void this.#deliverTaken();
        }, DELIVER_MS);
    }
    /** Settles every debt of this daemon with the store, or else with peers. */
    async run() {
        const { charges, recorder } = this.ctx;
        this.#closed = true;
        clearInterval(this.#timer);
        const returns = await this.#release();
        for (;;) {
            /* eslint-disable no-await-in-loop */
            const settled = (await charges.flush()) && (await this.#giveBack(returns));
            await this.#deliverTaken();
            if (settled && this.#taken.length === 0) {
                recorder.record('handoverDone', { detail: 'store' });
                return;
            }
            if (await this.#toPeers(returns))
                return;
            recorder.record('handoverDelayed');
            await delay(RETRY_MS);
            /* eslint-enable no-await-in-loop */
        }
    }
    async #release() {
        const { budgets, self } = this.ctx;
        const replies = await Promise.all(budgets.names.map((budget) => budgets.ask({ type: 'release', budget })));
        return replies
            .map(({ escrow }) => ({ holder: self, budget: escrow.budget, returned: escrow.returned }))
            .filter(({ returned }) => returned > 0);
    }
    async #giveBack(returns) {
        const shards = this.ctx.config.current?.manifest.budgetShards ?? 1;
        const numbers = new Set(returns.map(({ budget }) => shardOf(budget, shards)));
        const updates = [...numbers].map((shard) => {
            const own = returns.filter(({ budget }) => shardOf(budget, shards) === shard);
            const kind = { key: shardKey(shard), parse: parseShard };
            return updateObject(this.ctx.store, kind, (value) => acceptReturns(value, own));
        });
        const results = await Promise.all(updates);
        return results.every(({ ok }) => ok);
    }
    async #toPeers(returns) {
        const { self, charges, network } = this.ctx;
        const own = { type: 'hand-over', holder: self, charges: charges.unflushed, returns };
        const peers = network.peers().filter(({ state }) => state === 'live');
        const order = rendezvous(self, peers.map(({ name }) => name));
        let heirs = 0;
        for (let index = 0; index < order.length && heirs < HEIRS; index += 1) {
            // The next peer is asked only if the one before did not take over.
            // eslint-disable-next-line no-await-in-loop
            if (await this.#offer(order[index] ?? '', [own, ...this.#taken]))
                heirs += 1;
        }
        if (heirs > 0)
            this.ctx.recorder.record('handoverDone', { detail: `${heirs} peers` });
        return heirs > 0;
    }
    async #offer(to, debts) {
        const answers = await Promise.all(debts.map((body) => this.ctx.network.request({ to, body, reply: 'handed-over', timeoutMs: HAND_OVER_MS })));
        return answers.every((answer) => answer.ok && answer.val.accepted);
    }
    #deliverTaken() {
        this.#delivering ??= this.#deliverAll().finally(() => {
            this.#delivering = undefined;
        });
        return this.#delivering;
    }
    async #deliverAll() {
        const { store, recorder } = this.ctx;
        const settled = await Promise.all(this.#taken.map(async ({ holder, charges, returns }) => {
            const sent = charges.map(({ shard, lines }) => deliverLines(store, { holder, shard, lines }));
            const delivered = (await Promise.all(sent)).every(Boolean);
            return delivered && (await this.#giveBack(returns)) ? holder : undefined;
        }));
        this.#taken = this.#taken.filter(({ holder }) => !settled.includes(holder));
        settled
            .filter((holder) => holder !== undefined)
            .forEach((holder) => recorder.record('handoverDelivered', { peer: holder }));
    }
}
//# sourceMappingURL=handover.js.map