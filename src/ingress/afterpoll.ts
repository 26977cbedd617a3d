/** Waits for the event loop to poll its sockets. */
import { setImmediate as nextCheck } from 'node:timers/promises';

import type { Clock } from '../kernel/index.js';

/**
 * Resolves right after the sockets have been polled. After a stall of the process, timers run before the requests that
 * have arrived meanwhile are read.
 * @param clock - steady clock
 * @returns a time, in milliseconds, before which the poll cannot have begun
 */
export async function afterPoll(clock: Clock): Promise<number> {
  await nextCheck();
  const before = clock.now();
  // The check phase of the next iteration follows its poll phase.
  await nextCheck();
  return before;
}
