import test from 'ava';

import { runPaceFleet } from '../../../testbed/pacefleet.js';
import { UpstreamPace, UsualPace } from '../index.js';

import type { ServedRequest, SimulatedUpstream } from '../../../testbed/pacefleet.js';

const SLOTS = 8;

const WORK_MS = 40;

/** Requests that take longer than this are late, in milliseconds. */
const AIM_MS = 120;

const SEEDS = [1, 2, 3];

const USUAL: SimulatedUpstream = { factor: () => 1 };

function run(
  upstreams: readonly SimulatedUpstream[],
  requestsPerSecond: number,
  usesPace: boolean,
): readonly ServedRequest[] {
  const cfg = { upstreams, slots: SLOTS, workMs: WORK_MS, requestsPerSecond, forMs: 24_000 };
  return SEEDS.flatMap((seed) => runPaceFleet({ ...cfg, usesPace, seed }));
}

function lateShare(served: readonly ServedRequest[]): number {
  return served.filter(({ tookMs }) => tookMs > AIM_MS).length / served.length;
}

/** Share of the requests that one upstream served between two times. */
function shareOf(
  served: readonly ServedRequest[],
  upstream: number,
  [from, to]: readonly [number, number],
): number {
  const within = served.filter(({ at }) => at >= from && at < to);
  return within.filter((each) => each.upstream === upstream).length / within.length;
}

interface Row {
  readonly title: string;
  readonly upstreams: readonly SimulatedUpstream[];
  readonly requestsPerSecond: number;
  /** Largest share of late requests, as a part of that without the pace. */
  readonly mostLate: number;
}

const ROWS: readonly Row[] = [
  {
    title: 'one upstream is three times as slow',
    upstreams: [{ factor: () => 3 }, USUAL, USUAL, USUAL],
    requestsPerSecond: 100,
    mostLate: 0.5,
  },
  {
    title: 'one slows down at half its slots',
    upstreams: [{ factor: (_now, open) => (open > SLOTS / 2 ? 5 : 1) }, USUAL, USUAL, USUAL],
    requestsPerSecond: 380,
    mostLate: 0.75,
  },
  {
    title: 'one states that it is slow for moments',
    upstreams: [
      {
        factor: (now) => (now % 3_000 < 800 ? 4 : 1),
        states: (now) => (now % 3_000 < 800 ? 400 : 100),
      },
      ...[1, 2, 3].map(() => ({ factor: () => 1, states: () => 100 })),
    ],
    requestsPerSecond: 100,
    mostLate: 0.7,
  },
  {
    title: 'one is slow and states that it is not',
    upstreams: [
      { factor: () => 4, states: () => 100 },
      ...[1, 2, 3].map(() => ({ factor: () => 1, states: () => 100 })),
    ],
    requestsPerSecond: 100,
    mostLate: 0.5,
  },
];

ROWS.forEach(({ title, upstreams, requestsPerSecond, mostLate }) => {
  test(`fewer requests are late because of what was learned of the pace: ${title}`, (t) => {
    const before = lateShare(run(upstreams, requestsPerSecond, false));
    const after = lateShare(run(upstreams, requestsPerSecond, true));
    t.log(`late: ${before.toFixed(4)} without, ${after.toFixed(4)} with it`);
    t.true(before > 0.01);
    t.true(after <= before * mostLate, `${after} of ${before}`);
  });
});

test('upstreams of the same pace get the same, and no more requests are late', (t) => {
  const before = run([USUAL, USUAL, USUAL, USUAL], 300, false);
  const after = run([USUAL, USUAL, USUAL, USUAL], 300, true);
  t.log(`late: ${lateShare(before).toFixed(4)} without, ${lateShare(after).toFixed(4)} with it`);
  t.true(lateShare(after) <= lateShare(before) + 0.005);
  [0, 1, 2, 3].forEach((upstream) => {
    const share = shareOf(after, upstream, [0, 24_000]);
    t.true(share > 0.2 && share < 0.3, `${share}`);
  });
});

test('an upstream that recovers gets its share again', (t) => {
  const recovering = { factor: (now: number) => (now < 8_000 ? 6 : 1) };
  const served = run([recovering, USUAL, USUAL, USUAL], 200, true);
  const slow = shareOf(served, 0, [2_000, 8_000]);
  const later = shareOf(served, 0, [16_000, 24_000]);
  t.log(`share: ${slow.toFixed(3)} while slow, ${later.toFixed(3)} later`);
  t.true(slow < 0.12, `${slow}`);
  t.true(later > 0.17, `${later}`);
});

test('one that states to be slow and is not is used once the others are busy', (t) => {
  const others = [1, 2, 3].map(() => ({ factor: () => 1, states: () => 100 }));
  const upstreams = [{ factor: () => 1, states: () => 400 }, ...others];
  const before = lateShare(run(upstreams, 720, false));
  const served = run(upstreams, 720, true);
  const after = lateShare(served);
  const share = shareOf(served, 0, [4_000, 24_000]);
  t.log(`share: ${share.toFixed(3)}; late: ${before.toFixed(4)} without, ${after.toFixed(4)} with`);
  t.true(share > 0.15, `${share}`);
  t.true(after <= before + 0.01, `${after} of ${before}`);
});

test('a new upstream gets its share, not everything', (t) => {
  const served = run([{ factor: () => 1, from: 8_000 }, USUAL, USUAL, USUAL], 200, true);
  const first = shareOf(served, 0, [8_000, 10_000]);
  t.log(`share: ${first.toFixed(3)} in its first seconds`);
  t.true(first > 0.15 && first < 0.35, `${first}`);
});

test('what was stated counts less with its age, and what was learned fades', (t) => {
  const usual = new UsualPace();
  const pace = new UpstreamPace(usual);
  const factorAt = (now: number): number => Number(pace.factor(0, now).toFixed(1));
  pace.noteStated(100, 0);
  pace.noteStated(300, 0);
  t.deepEqual([0, 400, 5_000].map(factorAt), [1.5, 1.2, 1]);
  const other = new UpstreamPace(usual);
  const answer = { tookMs: 40, expectedMs: 0, fill: 0 };
  for (let count = 0; count < 60; count += 1) other.noteAnswer(answer, 9_000);
  for (let count = 0; count < 12; count += 1) pace.noteAnswer({ ...answer, tookMs: 400 }, 9_000);
  t.true(pace.factor(0, 9_000) > 2, `${pace.factor(0, 9_000)}`);
  t.true(pace.factor(0, 60_000) < 1.1, `${pace.factor(0, 60_000)}`);
});
