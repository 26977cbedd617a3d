/** Budget shard: the stored root of many budgets, as plain data. */
import { z } from 'zod';
import { hash32 } from '../kernel/index.js';
import { peerCounterSchema } from './escrow.js';
/** Schema of the counters of one holder in one budget; all of them only grow. */
export const rowSchema = z
    .object({
    /** Incarnation that may spend what the row grants. */
    holder: z.string(),
    granted: z.number().int().nonnegative(),
    spent: z.number().int().nonnegative(),
    /** Units given up, those transferred to other rows included. */
    returned: z.number().int().nonnegative(),
    /** Part of "granted" that was transferred from other rows; absent for none. */
    received: z.number().int().nonnegative().optional(),
    /** Units transferred to other rows, by borrower; absent for none. */
    passed: z.array(peerCounterSchema).readonly().optional(),
    /** Smoothed use, in units a second, when the holder last wrote. */
    demand: z.number().nonnegative().optional(),
})
    .readonly();
/** Schema of a top-up, known by its operation id. */
export const topUpSchema = z
    .object({ operation: z.string(), units: z.number().int(), at: z.number() })
    .readonly();
/** Schema of a budget in its shard. */
export const budgetSchema = z
    .object({
    name: z.string(),
    workspace: z.string(),
    paid: z.number().int().nonnegative(),
    topUps: z.array(topUpSchema).readonly(),
    /** Units spent under rows that have been closed and dropped. */
    retired: z.number().int().nonnegative(),
    rows: z.array(rowSchema).readonly(),
})
    .readonly();
/** Schema of a holder's entry in a shard. */
export const holderSchema = z
    .object({
    holder: z.string(),
    /** Incarnation that keeps the copies of this holder; null before the first. */
    backup: z.string().nullable(),
    /** Highest sequence whose charge line counts. */
    settled: z.number().int().nonnegative(),
})
    .readonly();
/** Schema of a shard object. */
export const shardSchema = z
    .object({
    budgets: z.array(budgetSchema).readonly(),
    holders: z.array(holderSchema).readonly(),
})
    .readonly();
/**
 * Reads a stored shard.
 * @param value - stored value; null where the object does not exist
 * @returns the shard
 * @throws ZodError if the value is not a shard
 */
export function parseShard(value) {
    return value === null ? { budgets: [], holders: [] } : shardSchema.parse(value);
}
/**
 * Gives the object key of a shard.
 * @param shard - shard number
 * @returns the object key
 */
export function shardKey(shard) {
    return `budgets/${shard}`;
}
/**
 * Gives the shard that a budget lives in.
 * @param budget - budget name
 * @param shards - number of shards in force
 * @returns the shard number
 */
export function shardOf(budget, shards) {
    return hash32(budget) % shards;
}
//# sourceMappingURL=shard.js.map