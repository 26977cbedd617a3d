import test from 'ava';

import {
  acceptsDuringStop,
  drainUntil,
  exitTime,
  isDrained,
  latestBegin,
  mayCloseListener,
  mayEndRequests,
  stopWindow,
} from '../stopping.js';

const WINDOW = { startedAt: 1_000, stopMs: 8_000 };

const REQUESTS = [
  {
    title: 'a long request before the balancer has noticed',
    at: 2_900,
    limitMs: 60_000,
    taken: true,
  },
  { title: 'a short request later', at: 5_000, limitMs: 400, taken: true },
  { title: 'a request whose time limit ends just in time', at: 5_000, limitMs: 2_880, taken: true },
  { title: 'a request that might be cut', at: 5_000, limitMs: 2_881, taken: false },
  { title: 'a short request shortly before the end', at: 7_801, limitMs: 400, taken: false },
] as const;

REQUESTS.forEach(({ title, at, limitMs, taken }) => {
  test(`during a stop, ${title} is ${taken ? 'taken' : 'refused'}`, (t) => {
    t.is(acceptsDuringStop(WINDOW, at + limitMs, at), taken);
  });
});

const WAITS = [
  { title: 'that may outlast the stop', arrivedAt: 2_000, limitMs: 12_000, until: 3_960 },
  { title: 'that may end right after the cut', arrivedAt: 3_000, limitMs: 4_881, until: 3_960 },
  { title: 'that ends before the cut', arrivedAt: 3_000, limitMs: 4_880, until: Infinity },
] as const;

WAITS.forEach(({ title, arrivedAt, limitMs, until }) => {
  test(`during a stop, a request ${title} begins before ${until} or not at all`, (t) => {
    t.is(latestBegin(WINDOW, arrivedAt + limitMs), until);
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
  {
    title: 'while requests still run and arrive',
    at: 7_479,
    active: 9,
    arrivedAt: 7_479,
    leaves: false,
  },
  {
    title: 'when it must accept those that wait',
    at: 7_480,
    active: 9,
    arrivedAt: 7_480,
    leaves: true,
  },
  { title: 'when open requests are cut', at: 7_880, active: 9, arrivedAt: 7_880, leaves: true },
] as const;

const BACKLOGS = [
  { title: 'before the balancer has noticed', at: 4_199, emptyAt: 1_000, leaves: false },
  { title: 'for a short time', at: 4_599, emptyAt: 4_200, leaves: false },
  { title: 'for long', at: 4_600, emptyAt: 4_200, leaves: true },
] as const;

BACKLOGS.forEach(({ title, at, emptyAt, leaves }) => {
  test(`a stopping daemon at which connections wait ${title} ${leaves ? 'leaves' : 'stays'}`, (t) => {
    t.is(mayCloseListener(WINDOW, { active: 9, arrivedAt: at, emptyAt }, at), leaves);
  });
});

MOMENTS.forEach(({ title, at, active, arrivedAt, leaves }) => {
  test(`a stopping daemon ${leaves ? 'leaves' : 'stays'} ${title}`, (t) => {
    t.is(mayCloseListener(WINDOW, { active, arrivedAt, emptyAt: at }, at), leaves);
  });
});

const ENDS = [
  {
    title: 'while a request runs',
    at: 7_879,
    active: 1,
    arrivedAt: 5_000,
    acceptedAt: 5_000,
    ends: false,
  },
  {
    title: 'right after a request',
    at: 7_199,
    active: 0,
    arrivedAt: 7_000,
    acceptedAt: 5_000,
    ends: false,
  },
  {
    title: 'right after a connection',
    at: 7_199,
    active: 0,
    arrivedAt: 5_000,
    acceptedAt: 7_000,
    ends: false,
  },
  {
    title: 'when nothing arrives any more',
    at: 7_200,
    active: 0,
    arrivedAt: 7_000,
    acceptedAt: 7_000,
    ends: true,
  },
  {
    title: 'when open requests are cut',
    at: 7_880,
    active: 9,
    arrivedAt: 7_880,
    acceptedAt: 7_880,
    ends: true,
  },
] as const;

ENDS.forEach(({ title, at, ends, ...arrivals }) => {
  test(`a daemon that has closed its listener ${ends ? 'refuses what arrives' : 'serves'} ${title}`, (t) => {
    t.is(mayEndRequests(WINDOW, arrivals, at), ends);
  });
});

const POLLED_AFTER = 9_000;

const ARRIVALS = [
  { title: 'nothing has arrived', active: 0, arrivedAt: 8_000, acceptedAt: 8_500, drained: true },
  { title: 'a request runs', active: 1, arrivedAt: 8_000, acceptedAt: 8_500, drained: false },
  {
    title: 'the last poll read a request',
    active: 0,
    arrivedAt: 9_000,
    acceptedAt: 8_500,
    drained: false,
  },
  {
    title: 'it brought a connection',
    active: 0,
    arrivedAt: 8_000,
    acceptedAt: 9_001,
    drained: false,
  },
] as const;

ARRIVALS.forEach(({ title, drained, ...arrivals }) => {
  test(`a daemon that is about to exit ${drained ? 'may' : 'may not'} do so if ${title}`, (t) => {
    t.is(isDrained(arrivals, POLLED_AFTER), drained);
  });
});

test('a process that is stopped ends half a second before it would be killed, even if the stop is not complete', (t) => {
  t.true(exitTime(WINDOW) <= WINDOW.startedAt + WINDOW.stopMs - 500);
  t.true(exitTime(WINDOW) > drainUntil(WINDOW, 0));
});

const SIGNALS = [
  { title: 'that was read at once', earliest: 5_000, startedAt: 5_000 },
  { title: 'that waited in a stalled process', earliest: 4_400, startedAt: 4_400 },
  { title: 'that may have waited for long', earliest: 1_000, startedAt: 4_000 },
  { title: 'before the first sample', earliest: Number.POSITIVE_INFINITY, startedAt: 5_000 },
] as const;

SIGNALS.forEach(({ title, earliest, startedAt }) => {
  test(`a stop counts from the arrival of a signal ${title}`, (t) => {
    t.deepEqual(stopWindow(Math.min(earliest, 5_000), 5_000, 8_000), { startedAt, stopMs: 8_000 });
  });
});

const DRAINS = [
  { title: 'in time', now: 7_880, until: 8_120 },
  { title: 'after a stall', now: 8_500, until: 8_660 },
] as const;

DRAINS.forEach(({ title, now, until }) => {
  test(`a stop that ends open requests ${title} refuses what still arrives until ${until}`, (t) => {
    t.is(drainUntil(WINDOW, now), until);
  });
});
