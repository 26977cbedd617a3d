/** Messages between daemons about idempotency keys. */
import { z } from 'zod';

import { keyRecordSchema, keyStateSchema } from './keyrecord.js';

/** An attempt with a key begins at another daemon. */
export const keyBeginSchema = z
  .object({
    type: z.literal('key-begin'),
    workspace: z.string(),
    key: z.string(),
    digest: z.string(),
    owner: z.string(),
    at: z.number(),
  })
  .readonly();

/** Asks what is remembered of a key. */
export const keyQuerySchema = z
  .object({ type: z.literal('key-query'), workspace: z.string(), key: z.string() })
  .readonly();

/** What the daemon remembers of a key. */
export const keyKnownSchema = z
  .object({ type: z.literal('key-known'), record: keyRecordSchema.nullable() })
  .readonly();

/** How an attempt went on. */
export const keyNoteSchema = z
  .object({
    type: z.literal('key-note'),
    workspace: z.string(),
    key: z.string(),
    owner: z.string(),
    state: keyStateSchema,
    upstream: z.string().nullable(),
  })
  .readonly();

/** An attempt ended without reaching an upstream. */
export const keyWithdrawSchema = z
  .object({
    type: z.literal('key-withdraw'),
    workspace: z.string(),
    key: z.string(),
    owner: z.string(),
    earlier: keyRecordSchema.nullable(),
  })
  .readonly();

/** A daemon that stops hands its key records over. */
export const keyHandoverSchema = z
  .object({ type: z.literal('key-handover'), records: z.array(keyRecordSchema).readonly() })
  .readonly();

/** Asks the owner of an attempt whether it still runs. */
export const keyRunningSchema = z
  .object({ type: z.literal('key-running'), workspace: z.string(), key: z.string() })
  .readonly();

/** Whether an attempt still runs at the daemon that answers. */
export const keyRunsSchema = z
  .object({ type: z.literal('key-runs'), running: z.boolean() })
  .readonly();

/** The message was taken note of. */
export const keyNotedSchema = z.object({ type: z.literal('key-noted') }).readonly();

/** Messages of the request aggregate. */
export const requestMessages = [
  keyBeginSchema,
  keyQuerySchema,
  keyKnownSchema,
  keyNoteSchema,
  keyWithdrawSchema,
  keyHandoverSchema,
  keyRunningSchema,
  keyRunsSchema,
  keyNotedSchema,
] as const;
