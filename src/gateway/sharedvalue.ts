/** Values in the store that all daemons of a fleet share; the first daemon writes them. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { SnapshotStore } from '../store/index.js';

/** Longest random delay before a failed attempt is retried, in milliseconds. */
const MAX_RETRY_DELAY_MS = 500;

/**
 * Reads a shared value. Writes the proposed one if none is stored or the stored one is invalid.
 * @param store - the store
 * @param key - key of the object that holds the value
 * @param isValid - whether a stored value can be used
 * @param propose - returns the value to write if no valid one is stored
 * @returns the value that all daemons share, as soon as the store has returned or accepted one
 */
export async function readOrCreate<Value>(
  store: SnapshotStore,
  key: string,
  isValid: (value: unknown) => value is Value,
  propose: () => Value,
): Promise<Value> {
  for (;;) {
    // Attempts are made one after the other.
    // eslint-disable-next-line no-await-in-loop
    const found = await store.read(key);
    if (found.ok && isValid(found.val.value)) return found.val.value;
    if (found.ok) {
      const proposed = propose();
      // eslint-disable-next-line no-await-in-loop
      const written = await store.write(key, proposed, found.val.version);
      if (written.ok) return proposed;
    }
    // eslint-disable-next-line no-await-in-loop
    await sleep(MAX_RETRY_DELAY_MS * Math.random());
  }
}
