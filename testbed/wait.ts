/** Polls conditions. */
import { setTimeout as delay } from 'node:timers/promises';

/** Interval between checks, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/**
 * Waits until a condition holds.
 * @param what - description of the condition, for the error message
 * @param condition - polled until it returns true; a thrown error counts as false
 * @param timeoutMs - timeout in milliseconds
 * @throws Error if the condition does not hold before the timeout
 */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 15_000,
): Promise<void> {
  const deadline = Date.now() + timeoutMs;
  while (Date.now() < deadline) {
    // eslint-disable-next-line no-await-in-loop
    const holds = await Promise.resolve()
      .then(condition)
      .catch(() => false);
    if (holds) return;
    // eslint-disable-next-line no-await-in-loop
    await delay(POLL_INTERVAL_MS);
  }
  throw new Error(`timed out after ${timeoutMs} ms: ${what}`);
}
