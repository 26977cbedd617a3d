/** Messages of the fleet aggregate between holders, their backups and their recoverers. */
import * as z from 'zod';

import { chargeLineSchema } from '../budget/index.js';

/** Schema of the units of one budget that a holder may have used beyond its charge lines. */
export const exposureSchema = z
  .object({
    budget: z.string(),
    reservedTotal: z.number().int().nonnegative(),
    releasedTotal: z.number().int().nonnegative(),
    passed: z.number().int().nonnegative(),
  })
  .readonly();

/** Sends a backup all lines of a holder that it has not acknowledged. */
export const copyLinesSchema = z
  .object({
    type: z.literal('copy-lines'),
    holder: z.string(),
    /** Intended receiver; another incarnation at the same address refuses the message. */
    backup: z.string(),
    shard: z.number().int(),
    lines: z.array(chargeLineSchema).readonly(),
    /** Highest sequence that is settled in the store; copies up to it may be deleted. */
    settled: z.number().int(),
    exposures: z.array(exposureSchema).readonly(),
    /** Units per budget that the holder may commit without acknowledgement by its backup. */
    window: z.number().int().nonnegative(),
  })
  .readonly();

/** Answer of a backup to a batch of lines. */
export const linesCopiedSchema = z
  .object({
    type: z.literal('lines-copied'),
    /**
     * "fenced": the holder must stop; "full" and "gap": the batch was not stored; "elsewhere": not
     * the intended receiver.
     */
    verdict: z.enum(['kept', 'fenced', 'full', 'gap', 'elsewhere']),
    /** Highest sequence that is stored at the backup or settled in the store. */
    through: z.number().int(),
  })
  .readonly();

/** Fences a holder at its backup and asks for the copies of its lines. */
export const fenceHolderSchema = z
  .object({
    type: z.literal('fence-holder'),
    holder: z.string(),
    backup: z.string(),
    shard: z.number().int(),
    /** Whether the recovery is complete, so that the copies may be deleted. */
    over: z.boolean(),
  })
  .readonly();

/** Answer of a backup: its copies of a fenced holder. */
export const holderFencedSchema = z
  .object({
    type: z.literal('holder-fenced'),
    /** False if an earlier incarnation was addressed, whose copies are lost. */
    isBackup: z.boolean(),
    lines: z.array(chargeLineSchema).readonly(),
    exposures: z.array(exposureSchema).readonly(),
    window: z.number().int().nonnegative(),
  })
  .readonly();

/** Asks an instance for its incarnation and for its last contact with a holder. */
export const holderQuerySchema = z
  .object({ type: z.literal('holder-query'), holder: z.string() })
  .readonly();

/** Answer of an instance to a holder query. */
export const holderSeenSchema = z
  .object({
    type: z.literal('holder-seen'),
    self: z.string(),
    /** Milliseconds since the last batch or query from the holder; null if there was none. */
    silentMs: z.number().nullable(),
  })
  .readonly();

/** Schemas of the messages of the fleet aggregate. */
export const fleetMessages = [
  copyLinesSchema,
  linesCopiedSchema,
  fenceHolderSchema,
  holderFencedSchema,
  holderQuerySchema,
  holderSeenSchema,
] as const;
