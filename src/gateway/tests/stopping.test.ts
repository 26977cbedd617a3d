import test from 'ava';

import { Durations } from '../durations.js';
import { mayCloseListener, acceptsDuringStop } from '../stopping.js';

const WINDOW = { startedAt: 1_000, stopMs: 8_000 };

const REQUESTS = [
  {
    title: 'a long request before the balancer has noticed',
    at: 2_900,
    lastsMs: 60_000,
    taken: true,
  },
  { title: 'a short request later', at: 5_000, lastsMs: 400, taken: true },
  { title: 'a request that ends just in time', at: 5_000, lastsMs: 2_880, taken: true },
  { title: 'a request that would be cut', at: 5_000, lastsMs: 2_881, taken: false },
  { title: 'a short request shortly before the end', at: 7_800, lastsMs: 400, taken: false },
] as const;

REQUESTS.forEach(({ title, at, lastsMs, taken }) => {
  test(`during a stop, ${title} is ${taken ? 'taken' : 'refused'}`, (t) => {
    t.is(acceptsDuringStop(WINDOW, lastsMs, at), taken);
  });
});

const MOMENTS = [
  {
    title: 'right after the signal, without open requests',
    at: 1_001,
    active: 0,
    arrivedAt: -1e9,
    leaves: false,
  },
  { title: 'when the balancer has noticed', at: 4_200, active: 0, arrivedAt: 3_400, leaves: true },
  { title: 'while requests still arrive', at: 4_200, active: 0, arrivedAt: 3_401, leaves: false },
  { title: 'while a request runs', at: 5_000, active: 1, arrivedAt: 1_000, leaves: false },
  { title: 'when open requests are cut', at: 7_880, active: 9, arrivedAt: 7_880, leaves: true },
] as const;

MOMENTS.forEach(({ title, at, active, arrivedAt, leaves }) => {
  test(`a stopping daemon ${leaves ? 'leaves' : 'stays'} ${title}`, (t) => {
    t.is(mayCloseListener(WINDOW, { active, arrivedAt }, at), leaves);
  });
});

const DURATION_ROWS = [
  { title: 'no request was answered yet', took: [], longest: 15_000 },
  { title: 'one took 100 ms', took: [100], longest: 200 },
  { title: 'all take 100 ms', took: Array.from({ length: 200 }, () => 100), longest: 100 },
  { title: 'they differ', took: [100, 300], longest: 110 + (25 + (200 - 25) * 0.05) * 4 },
  { title: 'one took longer than the time limit', took: [20_000], longest: 15_000 },
] as const;

DURATION_ROWS.forEach(({ title, took, longest }) => {
  test(`if ${title}, a request is expected to last ${longest} ms at most`, (t) => {
    const durations = new Durations();
    took.forEach((tookMs) => durations.note('r', tookMs));
    t.is(Math.round(durations.upperBoundMs('r', 15_000) * 100), Math.round(longest * 100));
  });
});
