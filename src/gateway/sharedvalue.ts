/** Values that every daemon of a fleet must share, kept in the store by whoever comes first. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { SnapshotStore } from '../store/index.js';

/** Longest delay before a failed attempt is repeated, in milliseconds. */
const MAX_RETRY_DELAY_MS = 500;

/**
 * Agrees on a value: the stored one counts, the own proposal only where there is none.
 * @param store - the store
 * @param key - key of the object that holds the value
 * @param isValid - whether a stored value can be used
 * @param propose - makes the value where none is stored
 * @returns the value that all daemons share, once the store has answered
 */
export async function readOrCreate<Value>(
  store: SnapshotStore,
  key: string,
  isValid: (value: unknown) => value is Value,
  propose: () => Value,
): Promise<Value> {
  for (;;) {
    // One attempt after the other.
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
