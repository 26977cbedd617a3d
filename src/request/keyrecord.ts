/** Key records: the newest attempt with an idempotency key, as recorded by daemons of the fleet. */
import * as z from 'zod';

/** Schema of the state of an attempt. */
export const keyStateSchema = z.enum(['running', 'answered', 'cut']);

/** Schema of a key record. */
export const keyRecordSchema = z
  .object({
    workspace: z.string(),
    key: z.string(),
    /** SHA-256 of the request body; a key may be used with one body only. */
    digest: z.string(),
    /** Incarnation of the daemon that runs the newest attempt. */
    owner: z.string(),
    state: keyStateSchema,
    /** Upstream that an attempt was last dispatched to; null before the first dispatch. */
    upstream: z.string().nullable(),
    /** Start of the newest attempt, in milliseconds since the epoch. */
    at: z.number(),
  })
  .readonly();

/** Record of the newest attempt with a key. */
export type KeyRecord = z.infer<typeof keyRecordSchema>;

/** State of an attempt. */
export type KeyState = z.infer<typeof keyStateSchema>;

/** Identifies an idempotency key; keys of different workspaces are independent. */
export interface KeyName {
  readonly workspace: string;
  readonly key: string;
}

/** An attempt with a key at its start. */
export interface KeyAttempt extends KeyName {
  readonly digest: string;
  readonly owner: string;
  readonly at: number;
}

/**
 * Returns a string that identifies a key, for use as a map key and for hashing.
 * @param name - workspace and key
 * @returns a string that is unique to the key
 */
export function keyId({ workspace, key }: KeyName): string {
  return `${workspace}\n${key}`;
}

/**
 * Selects the newest of several daemons' records of a key.
 * @param records - records of the daemons that answered; null for a daemon without a record
 * @returns the newest record; null if there is none
 */
export function newestRecord(records: readonly (KeyRecord | null)[]): KeyRecord | null {
  return records.reduce<KeyRecord | null>((newest, record) => {
    if (!newest) return record;
    return record && record.at > newest.at ? record : newest;
  }, null);
}
