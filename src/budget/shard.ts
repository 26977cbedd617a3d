/** Budget shard: the stored object that holds many budgets and their holders, as plain data. */
import * as z from 'zod';

import { hash32 } from '../kernel/index.js';
import { peerCounterSchema } from './escrow.js';

/** Schema of the counters of one holder in one budget; all of them only grow. */
export const holderRowSchema = z
  .object({
    /** Incarnation that may spend the granted units. */
    holder: z.string(),
    granted: z.number().int().nonnegative(),
    spent: z.number().int().nonnegative(),
    /** Units given up, including those transferred to other rows. */
    returned: z.number().int().nonnegative(),
    /** Part of "granted" that was transferred from other rows; absent if none. */
    received: z.number().int().nonnegative().optional(),
    /** Units transferred to other rows, by borrower; absent if none. */
    passed: z.array(peerCounterSchema).readonly().optional(),
    /** Smoothed use at the holder's last write, in units per second. */
    demand: z.number().nonnegative().optional(),
    /**
     * Units that stay held after the holder has ended; units beyond them are released to the
     * budget.
     */
    hold: z.number().int().nonnegative().optional(),
  })
  .readonly();

/** Counters of one holder in one budget. */
export type HolderRow = z.infer<typeof holderRowSchema>;

/** Schema of a top-up, identified by its operation id. */
export const topUpSchema = z
  .object({ operation: z.string(), units: z.number().int(), at: z.number() })
  .readonly();

/** One payment into a budget. */
export type TopUp = z.infer<typeof topUpSchema>;

/** Schema of an operator's settlement of held units, identified by its operation id. */
export const heldSettlementSchema = z
  .object({ operation: z.string(), holder: z.string(), units: z.number().int(), at: z.number() })
  .readonly();

/** Held units that an operator returned to their budget. */
export type HeldSettlement = z.infer<typeof heldSettlementSchema>;

/** Schema of a budget in a shard. */
export const budgetSchema = z
  .object({
    name: z.string(),
    workspace: z.string(),
    paid: z.number().int().nonnegative(),
    topUps: z.array(topUpSchema).readonly(),
    /** Units spent under rows that have been closed and removed. */
    retired: z.number().int().nonnegative(),
    /** Units returned because their charge lines repeated the request of an earlier line. */
    credited: z.number().int().nonnegative().default(0),
    settlements: z.array(heldSettlementSchema).readonly().default([]),
    rows: z.array(holderRowSchema).readonly(),
  })
  .readonly();

/** A prepaid budget as stored. */
export type BudgetRecord = z.infer<typeof budgetSchema>;

/** Schema of a holder's entry in a shard. */
export const holderEntrySchema = z
  .object({
    holder: z.string(),
    /** Incarnation that stores copies of this holder's lines; null if there is none yet. */
    backup: z.string().nullable(),
    /** Incarnation that receives copies while the backup does not answer; null if there is none. */
    standby: z.string().nullable().default(null),
    /** Highest sequence whose charge line is settled. */
    settled: z.number().int().nonnegative(),
    /** "recovering": only the recoverer may settle lines; "ended": nobody may. */
    state: z.enum(['active', 'recovering', 'ended']).default('active'),
    /** Incarnation that recovers the holder. */
    recoverer: z.string().nullable().default(null),
    /** Why units of the holder's rows stay held; empty unless it was found unresponsive. */
    cause: z.string().default(''),
    /** Heartbeat counter of a holder that reaches the store but not every peer. */
    beat: z.number().int().default(0),
  })
  .readonly();

/** A holder's entry in a shard. */
export type HolderEntry = z.infer<typeof holderEntrySchema>;

/**
 * Creates the entry of a holder that joins a shard.
 * @param holder - incarnation of the holder
 * @param backup - incarnation that stores copies of its lines; null if there is none
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

/** A shard object: many budgets, in less than 1 MB. */
export type BudgetShard = z.infer<typeof shardSchema>;

/**
 * Parses a stored shard.
 * @param value - stored value; null where the object does not exist
 * @returns the shard
 * @throws ZodError if the value is not a shard
 */
export function parseShard(value: unknown): BudgetShard {
  return value === null ? { budgets: [], holders: [] } : shardSchema.parse(value);
}

/**
 * Returns the object key of a shard.
 * @param shard - shard number
 * @returns the object key
 */
export function shardKey(shard: number): string {
  return `budgets/${shard}`;
}

/**
 * Returns the shard that stores a budget.
 * @param budget - budget name
 * @param shards - current number of shards
 * @returns the shard number
 */
export function shardOf(budget: string, shards: number): number {
  return hash32(budget) % shards;
}
