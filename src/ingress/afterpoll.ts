/** Waits for the event loop to poll its sockets. */
import { setImmediate as nextCheck } from 'node:timers/promises';

import type { Clock } from '../kernel/index.js';

/**
 * Longest time since the begin of a poll in which its result still counts, in milliseconds. It bounds how long something
 * may have waited that a decision on this result ignores.
 */
const MAX_POLL_AGE_MS = 100;

/**
 * Checks whether the result of a poll still counts.
 * @param polledAfter - time before which the poll cannot have begun, in milliseconds
 * @param now - current time, in milliseconds
 * @returns whether hardly anything can have arrived since
 */
export function isFresh(polledAfter: number, now: number): boolean {
  return now - polledAfter <= MAX_POLL_AGE_MS;
}

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

/**
 * Resolves right after a poll whose result still counts.
 * @param clock - steady clock
 * @param until - time after which the next poll will do, in milliseconds
 * @returns a time, in milliseconds, before which the poll cannot have begun
 */
export async function freshPoll(clock: Clock, until = Number.POSITIVE_INFINITY): Promise<number> {
  for (;;) {
    // eslint-disable-next-line no-await-in-loop
    const polledAfter = await afterPoll(clock);
    const now = clock.now();
    if (isFresh(polledAfter, now) || now >= until) return polledAfter;
  }
}
