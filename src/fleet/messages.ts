/** Messages between holders, their backups and their recoverers. */
import { z } from 'zod';

import { chargeLineSchema } from '../budget/index.js';

/** Schema of what a holder may have used of one budget beyond its charge lines. */
export const exposureSchema = z
  .object({
    budget: z.string(),
    reservedTotal: z.number().int().nonnegative(),
    releasedTotal: z.number().int().nonnegative(),
    passed: z.number().int().nonnegative(),
  })
  .readonly();

/** A holder hands its backup every line that the backup has not acknowledged. */
export const copyLinesSchema = z
  .object({
    type: z.literal('copy-lines'),
    holder: z.string(),
    /** Incarnation that is meant; a later one at the same address refuses. */
    backup: z.string(),
    shard: z.number().int(),
    lines: z.array(chargeLineSchema).readonly(),
    /** Highest sequence that the store holds: copies up to it may be dropped. */
    settled: z.number().int(),
    exposures: z.array(exposureSchema).readonly(),
    /** Units that the holder may be ahead of its backup, for each budget. */
    window: z.number().int().nonnegative(),
  })
  .readonly();

/** Answer of a backup to copies. */
export const linesCopiedSchema = z
  .object({
    type: z.literal('lines-copied'),
    /** "fenced": the holder may not go on; "full" and "gap": nothing was kept. */
    verdict: z.enum(['kept', 'fenced', 'full', 'gap', 'elsewhere']),
    /** Highest sequence that the backup or the store holds. */
    through: z.number().int(),
  })
  .readonly();

/** A recoverer asks a backup to accept no more from a holder, and for its copies. */
export const fenceHolderSchema = z
  .object({
    type: z.literal('fence-holder'),
    holder: z.string(),
    backup: z.string(),
    shard: z.number().int(),
    /** The recovery is over: the copies may be dropped. */
    over: z.boolean(),
  })
  .readonly();

/** Everything that a backup knows of a fenced holder. */
export const holderFencedSchema = z
  .object({
    type: z.literal('holder-fenced'),
    /** False at an incarnation that never was the backup on record. */
    isBackup: z.boolean(),
    lines: z.array(chargeLineSchema).readonly(),
    exposures: z.array(exposureSchema).readonly(),
    window: z.number().int().nonnegative(),
  })
  .readonly();

/** Asks an instance who it is, and whether it has heard from a holder. */
export const holderQuerySchema = z
  .object({ type: z.literal('holder-query'), holder: z.string() })
  .readonly();

/** Answers who an instance is. */
export const holderSeenSchema = z
  .object({
    type: z.literal('holder-seen'),
    self: z.string(),
    /** Milliseconds since the last copy from the holder; null if there was none. */
    silentMs: z.number().nullable(),
  })
  .readonly();

/** Messages of the fleet aggregate. */
export const fleetMessages = [
  copyLinesSchema,
  linesCopiedSchema,
  fenceHolderSchema,
  holderFencedSchema,
  holderQuerySchema,
  holderSeenSchema,
] as const;
