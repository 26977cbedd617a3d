/** Tests of the components of the scheduler: digests, health, affinity, fair queue and limits. */
import test from 'ava';

import {
  AffinityPolicy,
  FairQueue,
  Health,
  prefixDigests,
  Worker,
  WorkspaceLimiter,
} from '../index.js';

import type { Candidate, PriorityClass } from '../index.js';

const TEXT = 'manifest of barge seven, '.repeat(100);

const DIGEST_CASES = [
  { title: 'equal prefixes', a: ['w', `${TEXT}one`], b: ['w', `${TEXT}two`], common: 4 },
  { title: 'different workspaces', a: ['w', TEXT], b: ['v', TEXT], common: 0 },
  { title: 'a difference in the first block', a: ['w', `x${TEXT}`], b: ['w', TEXT], common: 0 },
] as const;

DIGEST_CASES.forEach(({ title, a, b, common }) => {
  test(`prefixDigests: ${title}`, (t) => {
    const [first, second] = [a, b].map(([workspace, content]) =>
      prefixDigests(workspace, [{ role: 'user', content }]),
    );
    const same = (first ?? []).filter((digest, index) => digest === second?.[index]).length;
    t.is(same, common);
  });
});

test('prefixDigests: a short prompt has one digest, a long one at most 64', (t) => {
  t.is(prefixDigests('w', [{ role: 'user', content: 'short' }]).length, 1);
  t.is(prefixDigests('w', [{ role: 'user', content: 'x'.repeat(1_000_000) }]).length, 64);
});

const HEALTH_CASES = [
  { title: 'two failures do not eject', failures: [0, 1], at: 2, share: 1 },
  { title: 'three failures eject', failures: [0, 1, 2], at: 3, share: 0 },
  { title: 'the share grows during the slow start', failures: [0, 1, 2], at: 7_002, share: 0.55 },
  {
    title: 'the share is complete after the slow start',
    failures: [0, 1, 2],
    at: 12_002,
    share: 1,
  },
  {
    title: 'one failure during the slow start ejects for longer',
    failures: [0, 1, 2, 2_500],
    at: 6_400,
    share: 0,
  },
] as const;

HEALTH_CASES.forEach(({ title, failures, at, share }) => {
  test(`health: ${title}`, (t) => {
    const health = new Health();
    failures.forEach((time) => health.recordFailure(time));
    t.is(Math.round(health.share(at) * 100) / 100, share);
  });
});

function load(worker: Worker, value: number): Candidate {
  return { worker, load: value };
}

test('affinity: the same prompt goes to the same worker until its load exceeds the bound', (t) => {
  const workers = ['a', 'b', 'c'].map((name) => new Worker(name, 10));
  const even = workers.map((worker) => load(worker, 0.5));
  const digests = [17, 18, 19];
  const one = new AffinityPolicy();
  const home = one.choose({ candidates: even, meanLoad: 0.5, digests, now: 0, daemons: 1 });
  t.truthy(home);
  const other = new AffinityPolicy().choose({
    candidates: even,
    meanLoad: 0.5,
    digests,
    now: 0,
    daemons: 1,
  });
  t.is(home, other, 'another daemon chooses the same worker');
  const busy = even.map((entry) => (entry.worker === home ? load(entry.worker, 0.9) : entry));
  const spilled = one.choose({ candidates: busy, meanLoad: 0.6, digests, now: 0, daemons: 1 });
  t.not(spilled, home);
  if (spilled) one.recordDispatch(spilled, digests);
  t.is(
    one.choose({ candidates: busy, meanLoad: 0.6, digests: [17, 18, 20], now: 0, daemons: 1 }),
    spilled,
  );
  const pure = new AffinityPolicy({ bound: Number.POSITIVE_INFINITY });
  t.is(pure.choose({ candidates: busy, meanLoad: 0.6, digests, now: 0, daemons: 1 }), home);
});

const FAIR_CASES: readonly {
  readonly title: string;
  readonly entries: readonly (readonly [string, PriorityClass, string])[];
  readonly order: string;
}[] = [
  {
    title: 'workspaces of one class are served round robin',
    entries: [
      ['1', 'normal', 'noisy'],
      ['2', 'normal', 'noisy'],
      ['3', 'normal', 'noisy'],
      ['4', 'normal', 'calm'],
    ],
    order: '1 4 2 3',
  },
  {
    title: 'a low class does not starve',
    entries: [
      ...Array.from({ length: 8 }, (_, n) => [`n${n}`, 'normal', 'w'] as const),
      ['b0', 'bulk', 'w'],
      ['b1', 'bulk', 'w'],
    ],
    order: 'n0 b0 n1 n2 n3 n4 b1 n5 n6 n7',
  },
];

FAIR_CASES.forEach(({ title, entries, order }) => {
  test(`fair queue: ${title}`, (t) => {
    const queue = new FairQueue();
    entries.forEach(([id, priority, workspace]) => queue.push({ id, priority, workspace }));
    const seen: string[] = [];
    for (let next = queue.peek(); next; next = queue.peek()) {
      queue.dispatch(next);
      seen.push(next.id);
    }
    t.is(seen.join(' '), order);
  });
});

const LIMIT_CASES = [
  { title: 'concurrency is divided between the daemons', concurrency: 8, daemons: 4, admitted: 2 },
  { title: 'a rate allows a burst of two seconds', requestsPerSecond: 4, daemons: 2, admitted: 4 },
  { title: 'no limit', daemons: 3, admitted: 10 },
] as const;

LIMIT_CASES.forEach(({ title, daemons, admitted, ...limits }) => {
  test(`workspace limits: ${title}`, (t) => {
    const use = new WorkspaceLimiter();
    const delays = Array.from({ length: 10 }, () =>
      use.admit({ workspace: 'w', ...limits }, daemons, 0),
    );
    t.is(delays.filter((delay) => delay === 0).length, admitted);
  });
});
