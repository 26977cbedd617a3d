/** Budget shard: the stored root of many budgets, as plain data. */
import { z } from 'zod';

import { hash32 } from '../kernel/index.js';
import { peerCounterSchema } from './escrow.js';

/** Schema of the counters of one holder in one budget; all of them only grow. */
export const holderRowSchema = z
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
    /** Units that stay held after the holder has ended; what comes back beyond them is free. */
    hold: z.number().int().nonnegative().optional(),
  })
  .readonly();

/** Counters of one holder in one budget. */
export type HolderRow = z.infer<typeof holderRowSchema>;

/** Schema of a top-up, known by its operation id. */
export const topUpSchema = z
  .object({ operation: z.string(), units: z.number().int(), at: z.number() })
  .readonly();

/** One payment into a budget. */
export type TopUp = z.infer<typeof topUpSchema>;

/** Schema of an operator's settlement of held units, known by its operation id. */
export const heldSettlementSchema = z
  .object({ operation: z.string(), holder: z.string(), units: z.number().int(), at: z.number() })
  .readonly();

/** Held units that an operator gave back to their budget. */
export type HeldSettlement = z.infer<typeof heldSettlementSchema>;

/** Schema of a budget in its shard. */
export const budgetSchema = z
  .object({
    name: z.string(),
    workspace: z.string(),
    paid: z.number().int().nonnegative(),
    topUps: z.array(topUpSchema).readonly(),
    /** Units spent under rows that have been closed and dropped. */
    retired: z.number().int().nonnegative(),
    /** Units given back because their charge lines repeated the key of an earlier line. */
    credited: z.number().int().nonnegative().default(0),
    settlements: z.array(heldSettlementSchema).readonly().default([]),
    rows: z.array(holderRowSchema).readonly(),
  })
  .readonly();

/** A prepaid budget as the store keeps it. */
export type BudgetRecord = z.infer<typeof budgetSchema>;

/** Schema of a holder's entry in a shard. */
export const holderEntrySchema = z
  .object({
    holder: z.string(),
    /** Incarnation that keeps the copies of this holder; null before the first. */
    backup: z.string().nullable(),
    /** Incarnation that takes copies while the backup does not answer; null for none. */
    standby: z.string().nullable().default(null),
    /** Highest sequence whose charge line counts. */
    settled: z.number().int().nonnegative(),
    /** "recovering": only the recoverer may settle lines; "ended": nobody may. */
    state: z.enum(['active', 'recovering', 'ended']).default('active'),
    /** Incarnation that recovers the holder. */
    recoverer: z.string().nullable().default(null),
    /** Why units of the holder's rows stay held; empty while it is active. */
    cause: z.string().default(''),
    /** Sign of life of a holder that reaches the store but not every peer. */
    beat: z.number().int().default(0),
  })
  .readonly();

/** A holder's entry in a shard. */
export type HolderEntry = z.infer<typeof holderEntrySchema>;

/**
 * Makes the entry of a holder that joins a shard.
 * @param holder - incarnation of the holder
 * @param backup - incarnation that keeps its copies; null for none
 * @returns an active entry without settled lines
 */
export function newHolderEntry(holder: string, backup: string | null): HolderEntry {
  return {
    holder,
    backup,
    standby: null,
    settled: 0,
    state: 'active',
    recoverer: null,
    cause: '',
    beat: 0,
  };
}

/** Schema of a shard object. */
export const shardSchema = z
  .object({
    budgets: z.array(budgetSchema).readonly(),
    holders: z.array(holderEntrySchema).readonly(),
  })
  .readonly();

/** A shard object: many budgets, under one megabyte. */
export type BudgetShard = z.infer<typeof shardSchema>;

/**
 * Reads a stored shard.
 * @param value - stored value; null where the object does not exist
 * @returns the shard
 * @throws ZodError if the value is not a shard
 */
export function parseShard(value: unknown): BudgetShard {
  return value === null ? { budgets: [], holders: [] } : shardSchema.parse(value);
}

/**
 * Gives the object key of a shard.
 * @param shard - shard number
 * @returns the object key
 */
export function shardKey(shard: number): string {
  return `budgets/${shard}`;
}

/**
 * Gives the shard that a budget lives in.
 * @param budget - budget name
 * @param shards - number of shards in force
 * @returns the shard number
 */
export function shardOf(budget: string, shards: number): number {
  return hash32(budget) % shards;
}
