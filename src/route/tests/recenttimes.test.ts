import test from 'ava';

import { RecentTimes } from '../recenttimes.js';

test('a key has the time that was set last', (t) => {
  const times = new RecentTimes(10);
  times.set('a', 1);
  times.set('a', 2);
  t.is(times.get('a'), 2);
  t.is(times.get('b'), undefined);
});

test('the latest half of the keys is remembered, and no more than the limit', (t) => {
  const times = new RecentTimes(10);
  const keys = Array.from({ length: 100 }, (_none, at) => `k${at}`);
  keys.forEach((key, at) => times.set(key, at));
  const remembered = keys.filter((key) => times.get(key) !== undefined);
  t.true(remembered.length >= 5 && remembered.length <= 10);
  t.deepEqual(remembered, keys.slice(-remembered.length));
});
