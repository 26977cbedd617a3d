/** Key records: what the fleet remembers of the attempts with an idempotency key. */
import { z } from 'zod';

/** Schema of the state of the newest attempt with a key. */
export const keyStateSchema = z.enum(['running', 'answered', 'cut']);

/** Schema of a key record. */
export const keyRecordSchema = z
  .object({
    workspace: z.string(),
    key: z.string(),
    /** SHA-256 of the body: a key belongs to one body. */
    digest: z.string(),
    /** Incarnation that runs the newest attempt. */
    owner: z.string(),
    state: keyStateSchema,
    /** Upstream that the newest attempt went to; null before the dispatch. */
    upstream: z.string().nullable(),
    /** Milliseconds since the epoch. */
    at: z.number(),
  })
  .readonly();

/** What is remembered of a key. */
export type KeyRecord = z.infer<typeof keyRecordSchema>;

/** State of the newest attempt with a key. */
export type KeyState = z.infer<typeof keyStateSchema>;

/** Names a key within its workspace. */
export interface KeyName {
  readonly workspace: string;
  readonly key: string;
}

/** An attempt that begins. */
export interface KeyAttempt extends KeyName {
  readonly digest: string;
  readonly owner: string;
  readonly at: number;
}

/**
 * Gives one text for a key, for placement by hash.
 * @param name - workspace and key
 * @returns a text that no other key has
 */
export function keyId({ workspace, key }: KeyName): string {
  return `${workspace}\n${key}`;
}

/**
 * Joins what several daemons remember of a key: the newest record counts.
 * @param records - records of the daemons that answered; null where a daemon knows nothing
 * @returns the newest record; null if none knows the key
 */
export function newestRecord(records: readonly (KeyRecord | null)[]): KeyRecord | null {
  return records.reduce<KeyRecord | null>((newest, record) => {
    if (!newest) return record;
    return record && record.at > newest.at ? record : newest;
  }, null);
}
