import test from 'ava';

import { UpstreamRegistry } from '../upstreams.js';

import type { ColdReason } from '../warmups.js';
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

const RATED = [{ name: 's', model: undefined, warmup: { perSecond: 11, forMs: 3_000 } }];

type Step =
  | { readonly at: number; readonly does: 'lists'; readonly warmupMs: number }
  | { readonly at: number; readonly does: 'starts-again'; readonly warmupMs: number }
  | { readonly at: number; readonly does: 'unanswered' | 'unlists' }
  | { readonly at: number; readonly does: 'evacuation-ends'; readonly dataCentre: string }
  | { readonly at: number; readonly does: 'configures'; readonly services: typeof RATED };

interface Row {
  readonly title: string;
  /** Whether the configuration names a rate at first; default true. */
  readonly isRated?: boolean;
  readonly steps: readonly Step[];
  /** Whether the upstream is taken for cold, each at a point in time. */
  readonly cold: readonly (readonly [at: number, isCold: boolean])[];
  readonly reasons?: readonly ColdReason[];
}

const ROWS: readonly Row[] = [
  {
    title: 'an upstream that has started before is not cold',
    steps: [{ at: 0, does: 'lists', warmupMs: 0 }],
    cold: [[1, false]],
    reasons: [],
  },
  {
    title: 'an upstream is cold for as long as its entry states',
    steps: [{ at: 0, does: 'lists', warmupMs: 3_000 }],
    cold: [
      [1, true],
      [2_999, true],
      [3_001, false],
    ],
    reasons: ['entry'],
  },
  {
    title: 'an entry that is read again does not begin the time anew',
    steps: [0, 1_000, 2_000].map((at) => ({ at, does: 'lists', warmupMs: 3_000 })),
    cold: [
      [2_999, true],
      [3_001, false],
    ],
  },
  {
    title: 'the entry states less time',
    steps: [
      { at: 0, does: 'lists', warmupMs: 3_000 },
      { at: 1_200, does: 'lists', warmupMs: 600 },
    ],
    cold: [
      [1_700, true],
      [1_900, false],
    ],
  },
  {
    title: 'the entry states the end',
    steps: [
      { at: 0, does: 'lists', warmupMs: 3_000 },
      { at: 1_200, does: 'lists', warmupMs: 0 },
    ],
    cold: [[1_201, false]],
  },
  {
    title: 'an upstream becomes cold again',
    steps: [
      { at: 0, does: 'lists', warmupMs: 0 },
      { at: 9_000, does: 'lists', warmupMs: 2_500 },
      { at: 12_000, does: 'lists', warmupMs: 0 },
      { at: 20_000, does: 'lists', warmupMs: 2_500 },
    ],
    cold: [
      [8_999, false],
      [11_000, true],
      [19_000, false],
      [22_000, true],
    ],
    reasons: ['entry', 'entry'],
  },
  {
    title: 'the next life of an upstream is cold by its own entry',
    steps: [
      { at: 0, does: 'lists', warmupMs: 0 },
      { at: 1_000, does: 'starts-again', warmupMs: 3_000 },
    ],
    cold: [
      [3_999, true],
      [4_001, false],
    ],
  },
  {
    title: 'an absurd time does not limit an upstream for good',
    steps: [{ at: 0, does: 'lists', warmupMs: 86_400_000 }],
    cold: [
      [59_999, true],
      [60_001, false],
    ],
  },
  {
    title: 'an upstream that does not answer may have started again',
    steps: [
      { at: 0, does: 'lists', warmupMs: 0 },
      { at: 1_000, does: 'unanswered' },
    ],
    cold: [
      [999, false],
      [6_999, true],
      [7_001, false],
    ],
    reasons: ['unanswered'],
  },
  {
    title: 'the entry of before does not end the doubt',
    steps: [
      { at: 0, does: 'lists', warmupMs: 500 },
      { at: 100, does: 'unanswered' },
      { at: 600, does: 'lists', warmupMs: 0 },
    ],
    cold: [
      [700, true],
      [6_101, false],
    ],
  },
  {
    title: 'the upstreams of a data centre may be cold when its evacuation ends',
    steps: [
      { at: 0, does: 'lists', warmupMs: 0 },
      { at: 1_000, does: 'evacuation-ends', dataCentre: 'a' },
    ],
    cold: [
      [1_001, true],
      [4_900, true],
      [5_001, false],
    ],
    reasons: ['evacuated'],
  },
  {
    title: 'the end of another evacuation does not matter',
    steps: [
      { at: 0, does: 'lists', warmupMs: 0 },
      { at: 1_000, does: 'evacuation-ends', dataCentre: 'b' },
    ],
    cold: [[1_001, false]],
  },
  {
    title: 'a service without a rate has no cold upstreams',
    isRated: false,
    steps: [
      { at: 0, does: 'lists', warmupMs: 3_000 },
      { at: 1, does: 'unanswered' },
      { at: 2, does: 'evacuation-ends', dataCentre: 'a' },
    ],
    cold: [[3, false]],
    reasons: [],
  },
  {
    title: 'the rate becomes known after the entry',
    isRated: false,
    steps: [
      { at: 0, does: 'lists', warmupMs: 3_000 },
      { at: 1_000, does: 'configures', services: RATED },
    ],
    cold: [
      [999, false],
      [1_001, true],
      [3_001, false],
    ],
  },
];

function play(registry: UpstreamRegistry, step: Step): void {
  const { at } = step;
  switch (step.does) {
    case 'lists':
      registry.list({ ...RECORD, warmupMs: step.warmupMs }, at);
      break;
    case 'starts-again':
      registry.list({ ...RECORD, startedAt: 2, warmupMs: step.warmupMs }, at);
      break;
    case 'unanswered':
      registry.warmups.suspect(RECORD, 'unanswered', at);
      break;
    case 'unlists':
      registry.unlist(RECORD.id, at);
      break;
    case 'evacuation-ends':
      registry.suspectCold(step.dataCentre, at);
      break;
    default:
      registry.warmups.configure(step.services, registry.all(), at);
  }
}

ROWS.forEach(({ title, isRated = true, steps, cold, reasons }) => {
  test(`an upstream that is or may be cold needs permits: ${title}`, (t) => {
    const registry = new UpstreamRegistry();
    const seen: ColdReason[] = [];
    registry.warmups.onCold = (_upstream, why) => seen.push(why);
    registry.warmups.configure(isRated ? RATED : [], [], 0);
    const moments = [
      ...steps.map((step) => ({ at: step.at, run: (): void => play(registry, step) })),
      ...cold.map(([at, isCold]) => ({
        at,
        run: (): void => {
          const [record = RECORD] = registry.all();
          const allowance = registry.limits.allowanceOf(record, at);
          t.is(allowance?.isCold ?? false, isCold, `at ${at} ms`);
          t.is(registry.refusalReason(record, at), isCold ? 'limited' : undefined, `at ${at} ms`);
        },
      })),
    ].sort((one, other) => one.at - other.at);
    moments.forEach(({ run }) => run());
    if (reasons) t.deepEqual(seen, [...reasons]);
  });
});

test('a cold upstream that names a limit gets the lower of both', (t) => {
  const { limits } = new UpstreamRegistry();
  limits.setCold(RECORD, { perSecond: 11, until: 1_000, knownUntil: 1_000 }, 0);
  limits.observe(RECORD, { limit: 3, at: 0 }, 0);
  t.deepEqual(limits.allowanceOf(RECORD, 1), { perSecond: 3, isCold: true });
  t.deepEqual(limits.allowanceOf(RECORD, 1_001), { perSecond: 3, isCold: false });
  limits.observe(RECORD, { limit: 30, at: 1 }, 1);
  t.deepEqual(limits.allowanceOf(RECORD, 2), { perSecond: 11, isCold: true });
});
