/** Messages about idempotency keys, exchanged between daemons. */
import * as z from 'zod';

import { keyRecordSchema, keyStateSchema } from './keyrecord.js';

/** Announces that an attempt with a key begins at the sender. */
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

/** Asks for the record of a key. */
export const keyQuerySchema = z
  .object({ type: z.literal('key-query'), workspace: z.string(), key: z.string() })
  .readonly();

/** Reply: the record of a key; null if there is none. */
export const keyKnownSchema = z
  .object({ type: z.literal('key-known'), record: keyRecordSchema.nullable() })
  .readonly();

/** Announces the progress of an attempt. */
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

/** Announces that an attempt ended without reaching an upstream. */
export const keyWithdrawSchema = z
  .object({
    type: z.literal('key-withdraw'),
    workspace: z.string(),
    key: z.string(),
    owner: z.string(),
    earlier: keyRecordSchema.nullable(),
  })
  .readonly();

/** A stopping daemon hands over its key records. */
export const keyHandoverSchema = z
  .object({ type: z.literal('key-handover'), records: z.array(keyRecordSchema).readonly() })
  .readonly();

/** Asks the owner of an attempt whether it is still running. */
export const keyRunningSchema = z
  .object({ type: z.literal('key-running'), workspace: z.string(), key: z.string() })
  .readonly();

/** Reply: whether the attempt is still running at this daemon. */
export const keyRunsSchema = z
  .object({ type: z.literal('key-runs'), running: z.boolean() })
  .readonly();

/** Acknowledges a message. */
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
