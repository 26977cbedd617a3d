import test from 'ava';

import { block } from '../../../testbed/stall.js';
import { SteadyClock } from '../../kernel/index.js';
import { freshPoll } from '../index.js';

/** Duration of an iteration of the event loop in which much is read, in milliseconds. */
const LONG_MS = 150;

const ROWS = [
  { title: 'an idle event loop', long: 0 },
  { title: 'one long iteration', long: 1 },
  { title: 'several long iterations', long: 4 },
] as const;

ROWS.forEach(({ title, long }) => {
  test.serial(`a poll counts only if its iteration was short: after ${title}`, async (t) => {
    const clock = new SteadyClock();
    let left = long;
    let lastAt = clock.now();
    const occupy = (): void => {
      if (left === 0) return;
      left -= 1;
      block(LONG_MS);
      lastAt = clock.now();
      setImmediate(occupy);
    };
    setImmediate(occupy);
    const polledAfter = await freshPoll(clock);
    t.is(left, 0);
    t.true(polledAfter >= lastAt);
  });
});

test('a poll is not awaited for longer than asked', async (t) => {
  const clock = new SteadyClock();
  let isOver = false;
  const occupy = (): void => {
    block(LONG_MS);
    if (!isOver) setImmediate(occupy);
  };
  setImmediate(occupy);
  const until = clock.now() + LONG_MS * 3;
  await freshPoll(clock, until);
  isOver = true;
  t.true(clock.now() >= until);
});
