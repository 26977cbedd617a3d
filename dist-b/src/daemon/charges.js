/** Records charge lines, has them copied, and delivers them to the store. */
import { parseShard, segmentKey, settle, shardKey, shardOf } from '../budget/index.js';
import { updateObject } from '../platform/index.js';
/** Interval between deliveries, in milliseconds. */
const FLUSH_MS = 500;
/** Owns the unflushed charge lines of one daemon. */
export class Charges {
    ctx;
    #outboxes = new Map();
    #timer;
    /**
     * Creates the task.
     * @param ctx - store, backups and identity
     */
    constructor(ctx) {
        this.ctx = ctx;
    }
    /** Begins to deliver at intervals. */
    start() {
        this.#timer = setInterval(() => {
            void this.flush();
        }, FLUSH_MS);
    }
    /**
     * Records a charge and waits until a second daemon or the store holds it.
     * @param charge - what is to be charged
     * @returns whether the line is durable
     */
    async record(charge) {
        const shards = this.ctx.config.current?.manifest.budgetShards ?? 1;
        const outbox = this.#outboxOf(shardOf(charge.budget, shards));
        const line = {
            ...charge,
            holder: this.ctx.self,
            sequence: outbox.next,
            at: Date.now(),
        };
        outbox.next += 1;
        outbox.lines = [...outbox.lines, line];
        if (await this.ctx.backups.copy(outbox.shard, [line], outbox.settled)) {
            this.ctx.recorder.record('chargeCopied', { request: charge.key, budget: charge.budget });
            return true;
        }
        await this.#deliver(outbox);
        return outbox.settled >= line.sequence;
    }
    /**
     * Delivers every line that the store does not hold.
     * @returns whether all of them were delivered
     */
    async flush() {
        const results = await Promise.all([...this.#outboxes.values()].map((outbox) => this.#deliver(outbox)));
        return results.every(Boolean);
    }
    /** Lines that the store does not hold yet. */
    get unflushed() {
        return [...this.#outboxes.values()]
            .filter(({ lines }) => lines.length > 0)
            .map(({ shard, lines }) => ({ shard, lines }));
    }
    /** Ends the deliveries at intervals. */
    stop() {
        clearInterval(this.#timer);
    }
    #outboxOf(shard) {
        const found = this.#outboxes.get(shard);
        if (found)
            return found;
        const outbox = { shard, next: 1, settled: 0, lines: [], flushing: undefined };
        this.#outboxes.set(shard, outbox);
        return outbox;
    }
    async #deliver(outbox) {
        const state = outbox;
        // A line that was recorded while a delivery runs needs one more.
        if (state.flushing)
            await state.flushing;
        if (state.flushing)
            return state.flushing;
        if (state.lines.length === 0)
            return true;
        state.flushing = this.#send(state).finally(() => {
            state.flushing = undefined;
        });
        return state.flushing;
    }
    async #send(outbox) {
        const state = outbox;
        const { store, self, recorder } = this.ctx;
        const { lines, shard } = state;
        const [first] = lines;
        if (!first)
            return true;
        const segment = await store.write(segmentKey(shard, first), { lines }, 0);
        if (segment.err && segment.val.problem !== 'conflict')
            return this.#delayed(segment.val.text);
        const kind = { key: shardKey(shard), parse: parseShard };
        const mark = await updateObject(store, kind, (value) => settle(value, self, lines));
        if (mark.err)
            return this.#delayed(mark.val.text);
        state.settled = mark.val;
        state.lines = state.lines.filter(({ sequence }) => sequence > mark.val);
        recorder.record('chargesDelivered', { detail: `shard ${shard} through ${mark.val}` });
        return true;
    }
    #delayed(detail) {
        this.ctx.recorder.record('chargesDelayed', { detail });
        return false;
    }
}
//# sourceMappingURL=charges.js.map