/** Messages of the allowance aggregate between daemons. */
import * as z from 'zod';

import { shardStampSchema } from './recovery.js';
import { allowanceShardSchema, lineSchema } from './shard.js';

/** Copies a written shard to a peer, before the units that it grants are used. */
export const shardCopiedSchema = z
  .object({
    type: z.literal('shardCopied'),
    shard: z.number().int().nonnegative(),
    value: allowanceShardSchema,
  })
  .readonly();

/** Reply: whether the peer keeps the copy; it refuses one of a former era. */
export const shardKeptSchema = z
  .object({ type: z.literal('shardKept'), isKept: z.boolean() })
  .readonly();

/** Asks a daemon what it knows about a shard of former eras. */
export const shardAskedSchema = z
  .object({
    type: z.literal('shardAsked'),
    shard: z.number().int().nonnegative(),
    /** Current era of the store. */
    era: z.number().int().nonnegative(),
    /** Latest state that the sender knows. */
    known: shardStampSchema,
  })
  .readonly();

/** Reply: what the daemon may spend, and the state that it knows if it is later. */
export const shardToldSchema = z
  .object({
    type: z.literal('shardTold'),
    holder: z.string(),
    /** Whether the daemon ran in a former era. */
    hasLived: z.boolean(),
    /** Lines of its row; missing if it never wrote one. */
    lines: z.array(lineSchema).readonly().optional(),
    /** Earlier incarnations of its instance whose rows it has closed. */
    closed: z.array(z.string()).readonly(),
    known: allowanceShardSchema.optional(),
  })
  .readonly();

/** Schemas of the messages of the allowance aggregate. */
export const allowanceMessages = [
  shardCopiedSchema,
  shardKeptSchema,
  shardAskedSchema,
  shardToldSchema,
] as const;
