import test from 'ava';

import { UpstreamRegistry } from '../upstreams.js';

import type { UpstreamRecord } from '../upstreams.js';

const RECORD: UpstreamRecord = {
  id: 'u',
  startedAt: 1,
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'a',
  capacity: 8,
  isLeaving: false,
  warmupMs: 0,
};

type Step =
  | { readonly at: number; readonly does: 'lists' | 'announces-leaving' | 'unlists' }
  | { readonly at: number; readonly does: 'store-disturbed' }
  | { readonly at: number; readonly does: 'other-life' | 'answers-leaving' | 'forgets-gone' }
  | { readonly at: number; readonly does: 'pauses'; readonly forMs: number };

interface Row {
  readonly title: string;
  readonly steps: readonly Step[];
  /** Whether the upstream may receive requests, each at a point in time. */
  readonly serves: readonly (readonly [at: number, serves: boolean])[];
}

const ROWS: readonly Row[] = [
  {
    title: 'a listed upstream serves',
    steps: [{ at: 0, does: 'lists' }],
    serves: [[1, true]],
  },
  {
    title: 'a leaving upstream receives no new requests',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'announces-leaving' },
    ],
    serves: [[11, false]],
  },
  {
    title: 'a removal while the store is stable counts at once',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10_000, does: 'unlists' },
    ],
    serves: [[10_001, false]],
  },
  {
    title: 'an entry that expired in a store outage stays in use for a while',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10_000, does: 'store-disturbed' },
      { at: 10_001, does: 'unlists' },
    ],
    serves: [
      [10_002, true],
      [11_700, true],
      [11_702, false],
    ],
  },
  {
    title: 'a removal after the upstream has registered again counts at once',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10_000, does: 'store-disturbed' },
      { at: 10_001, does: 'unlists' },
      { at: 10_002, does: 'lists' },
      { at: 10_900, does: 'unlists' },
    ],
    serves: [
      [10_003, true],
      [10_901, false],
    ],
  },
  {
    title: 'an upstream that had announced that it leaves is removed at once, even in an outage',
    steps: [
      { at: 0, does: 'announces-leaving' },
      { at: 10_000, does: 'store-disturbed' },
      { at: 10_001, does: 'unlists' },
    ],
    serves: [[10_002, false]],
  },
  {
    title: 'a removal two seconds after an outage counts at once',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10_000, does: 'store-disturbed' },
      { at: 12_000, does: 'unlists' },
    ],
    serves: [[12_001, false]],
  },
  {
    title: 'another incarnation under the same id is another upstream',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'other-life' },
    ],
    serves: [[11, false]],
  },
  {
    title:
      'an upstream that said in an answer that it leaves receives no requests, although its entry is written again',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'answers-leaving' },
      { at: 20, does: 'lists' },
    ],
    serves: [
      [9, true],
      [11, false],
      [21, false],
    ],
  },
  {
    title:
      'an upstream that said in an answer that it leaves is removed at once, even in an outage',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'answers-leaving' },
      { at: 10_000, does: 'store-disturbed' },
      { at: 10_001, does: 'unlists' },
    ],
    serves: [[10_002, false]],
  },
  {
    title: 'what an upstream said in an answer counts when its entry comes back after an outage',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'answers-leaving' },
      { at: 100_000, does: 'store-disturbed' },
      { at: 110_000, does: 'unlists' },
      { at: 115_000, does: 'forgets-gone' },
      { at: 120_000, does: 'lists' },
    ],
    serves: [[120_001, false]],
  },
  {
    title: 'what an incarnation said in an answer is forgotten some time after it is gone',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'answers-leaving' },
      { at: 10_000, does: 'unlists' },
      { at: 80_000, does: 'forgets-gone' },
      { at: 80_001, does: 'lists' },
    ],
    serves: [[80_002, true]],
  },
  {
    title: 'what an incarnation said in an answer is remembered as long as it is listed',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'answers-leaving' },
      { at: 500_000, does: 'forgets-gone' },
      { at: 900_000, does: 'forgets-gone' },
    ],
    serves: [[900_001, false]],
  },
  {
    title: 'an upstream that asks for a pause receives no requests until its end',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'pauses', forMs: 500 },
    ],
    serves: [
      [11, false],
      [509, false],
      [510, true],
    ],
  },
  {
    title: 'a pause lasts while it is asked for again',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'pauses', forMs: 500 },
      { at: 400, does: 'pauses', forMs: 500 },
      { at: 800, does: 'pauses', forMs: 500 },
    ],
    serves: [
      [799, false],
      [1_299, false],
      [1_300, true],
    ],
  },
  {
    title: 'a shorter pause does not end a longer one',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'pauses', forMs: 2_000 },
      { at: 20, does: 'pauses', forMs: 100 },
    ],
    serves: [
      [1_000, false],
      [2_010, true],
    ],
  },
  {
    title: 'a pause without a bound ends after half an hour',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'pauses', forMs: Number.POSITIVE_INFINITY },
    ],
    serves: [
      [1_799_000, false],
      [1_800_010, true],
    ],
  },
  {
    title: 'a pause stays in force when the entry is written again or comes back after an outage',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'pauses', forMs: 20_000 },
      { at: 20, does: 'lists' },
      { at: 1_000, does: 'store-disturbed' },
      { at: 1_001, does: 'unlists' },
      { at: 2_000, does: 'lists' },
    ],
    serves: [
      [21, false],
      [1_002, false],
      [2_001, false],
      [20_010, true],
    ],
  },
  {
    title: 'a pause delays nothing after the upstream said that it leaves',
    steps: [
      { at: 0, does: 'lists' },
      { at: 10, does: 'pauses', forMs: 100 },
      { at: 20, does: 'answers-leaving' },
    ],
    serves: [[200, false]],
  },
];

function applyStep(registry: UpstreamRegistry, step: Step): void {
  const { at, does } = step;
  if (does === 'lists') registry.list(RECORD, at);
  else if (does === 'announces-leaving') registry.list({ ...RECORD, isLeaving: true }, at);
  else if (does === 'other-life') registry.list({ ...RECORD, startedAt: 2 }, at);
  else if (does === 'answers-leaving') registry.signals.recordLeaving(RECORD, at);
  else if (does === 'pauses') registry.signals.recordPause(RECORD, step.forMs, at);
  else if (does === 'forgets-gone') registry.forgetGone(at);
  else if (does === 'store-disturbed') registry.noteDisturbance(at);
  else registry.unlist('u', at);
}

ROWS.forEach(({ title, steps, serves }) => {
  test(title, (t) => {
    const registry = new UpstreamRegistry();
    const left = [...steps];
    const seen = serves.map(([at]) => {
      while (left[0] && left[0].at <= at) applyStep(registry, left.shift() as Step);
      return registry.mayReceive(RECORD, at);
    });
    t.deepEqual(
      seen,
      serves.map(([, expected]) => expected),
    );
  });
});

test('a complete list removes what is not on it', (t) => {
  const registry = new UpstreamRegistry();
  registry.replace([RECORD, { ...RECORD, id: 'v' }], 0);
  registry.replace([{ ...RECORD, id: 'v' }], 10_000);
  t.deepEqual(
    registry.serving('s', 10_001).map(({ id }) => id),
    ['v'],
  );
});

test('an announcement in an answer concerns one incarnation, whatever else is at its id or address', (t) => {
  const registry = new UpstreamRegistry();
  const next = { ...RECORD, startedAt: 2 };
  const neighbour = { ...RECORD, id: 'v' };
  registry.replace([RECORD, neighbour], 0);
  registry.signals.recordLeaving(RECORD, 1);
  registry.signals.recordPause(RECORD, 10_000, 1);
  registry.replace([next, neighbour], 2);
  t.deepEqual(
    [RECORD, next, neighbour].map((record) => registry.mayReceive(record, 3)),
    [false, true, true],
  );
});

test('the end of a pause is reported once, with the first answer after it', (t) => {
  const { signals } = new UpstreamRegistry();
  signals.recordPause(RECORD, 100, 0);
  const seen = [50, 130, 140].map((at) => signals.recordAnswer(RECORD, at));
  signals.recordPause(RECORD, 100, 200);
  seen.push(signals.recordAnswer(RECORD, 310), signals.recordAnswer({ ...RECORD, id: 'v' }, 310));
  t.deepEqual(seen, [undefined, 30, undefined, 10, undefined]);
});

test('an upstream that left receives no new requests two seconds later, whenever the store was disturbed', (t) => {
  const leftAt = 10_000;
  const used = Array.from({ length: 400 }, (_, index) => index * 10).map((disturbedAt) => {
    const registry = new UpstreamRegistry();
    registry.list(RECORD, 0);
    registry.noteDisturbance(leftAt - 2_000 + disturbedAt);
    registry.unlist('u', leftAt);
    registry.noteDisturbance(leftAt + 1_000);
    return registry.mayReceive(RECORD, leftAt + 1_900);
  });
  t.false(used.includes(true));
});

test('a request that was placed before an evacuation is not sent, and none is placed until it is taken back', (t) => {
  const registry = new UpstreamRegistry();
  const other = { ...RECORD, id: 'v', dataCentre: 'b' };
  registry.replace([RECORD, other], 0);
  registry.isEvacuated = (dataCentre, now) => dataCentre === 'a' && now >= 10 && now < 20;
  const reasons = [9, 10, 20].map((at) => registry.refusalReason(RECORD, at));
  t.deepEqual(reasons, [undefined, 'evacuated', undefined]);
  const serving = [9, 10, 20].map((at) =>
    registry
      .serving('s', at)
      .map(({ id }) => id)
      .join(),
  );
  t.deepEqual(serving, ['u,v', 'v', 'u,v']);
  const supply = { registered: 1, paused: 0, limited: 0, evacuated: 1, pauseEndsInMs: undefined };
  t.deepEqual(registry.supply('s', 10), supply);
});
