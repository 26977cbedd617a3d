import test from 'ava';

import { seededRandom } from '../../../testbed/seed.js';
import { retryDelayMs } from '../shortage.js';
import { UpstreamRegistry } from '../upstreams.js';

import type { UpstreamSupply } from '../shortage.js';
import type { UpstreamRecord } from '../upstreams.js';

const RECORD: UpstreamRecord = {
  id: 'u1',
  startedAt: 1,
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'a',
  capacity: 8,
  isLeaving: false,
  warmupMs: 0,
};
const RECORDS = ['u1', 'u2', 'u3'].map((id) => ({ ...RECORD, id }));

interface Row {
  readonly title: string;
  /** Pauses by upstream, in milliseconds from time 0. */
  readonly pauses: Readonly<Record<string, number>>;
  readonly leaving: readonly string[];
  /** Waits for permits of limited upstreams, in milliseconds from time 0; none if it is left out. */
  readonly limits?: Readonly<Record<string, number>>;
  /** Upstreams in use at time 100. */
  readonly supply: UpstreamSupply;
}

const ROWS: readonly Row[] = [
  {
    title: 'no upstream is paused',
    pauses: {},
    leaving: [],
    supply: { registered: 3, paused: 0, limited: 0, pauseEndsInMs: undefined },
  },
  {
    title: 'some are paused',
    pauses: { u1: 2_000, u2: 1_000 },
    leaving: [],
    supply: { registered: 3, paused: 2, limited: 0, pauseEndsInMs: undefined },
  },
  {
    title: 'all are paused',
    pauses: { u1: 2_000, u2: 1_000, u3: 3_000 },
    leaving: [],
    supply: { registered: 3, paused: 3, limited: 0, pauseEndsInMs: 900 },
  },
  {
    title: 'all that do not leave are paused',
    pauses: { u1: 2_000, u2: 1_000 },
    leaving: ['u2', 'u3'],
    supply: { registered: 1, paused: 1, limited: 0, pauseEndsInMs: 1_900 },
  },
  {
    title: 'one pause is over',
    pauses: { u1: 2_000, u2: 50, u3: 3_000 },
    leaving: [],
    supply: { registered: 3, paused: 2, limited: 0, pauseEndsInMs: undefined },
  },
  {
    title: 'some are limited',
    pauses: {},
    limits: { u1: 900 },
    leaving: [],
    supply: { registered: 3, paused: 0, limited: 1, pauseEndsInMs: undefined },
  },
  {
    title: 'all are limited or paused',
    pauses: { u1: 2_000 },
    limits: { u1: 300, u2: 700, u3: 1_500 },
    leaving: [],
    supply: { registered: 3, paused: 1, limited: 3, pauseEndsInMs: 600 },
  },
  {
    title: 'all are limited, and one has a permit left',
    pauses: {},
    limits: { u1: 300, u2: 0, u3: 1_500 },
    leaving: [],
    supply: { registered: 3, paused: 0, limited: 3, pauseEndsInMs: 0 },
  },
  {
    title: 'all leave',
    pauses: { u1: 2_000 },
    leaving: ['u1', 'u2', 'u3'],
    supply: { registered: 0, paused: 0, limited: 0, pauseEndsInMs: undefined },
  },
];

ROWS.forEach(({ title, pauses, leaving, limits = {}, supply }) => {
  test(`the upstreams in use: ${title}`, (t) => {
    const registry = new UpstreamRegistry();
    registry.replace(RECORDS, 0);
    RECORDS.forEach((record) => {
      const pauseMs = pauses[record.id];
      if (pauseMs !== undefined) registry.signals.recordPause(record, pauseMs, 0);
      const limitedMs = limits[record.id];
      if (limitedMs !== undefined) registry.limits.observe(record, { limit: 1.3, at: 0 }, 0);
      if (limitedMs !== undefined) registry.limits.hold(record, limitedMs);
      if (leaving.includes(record.id)) registry.signals.recordLeaving(record, 0);
    });
    t.deepEqual(registry.supply('s', 100), supply);
  });
});

test('callers that are refused during a pause of all upstreams return after it, never all at once', (t) => {
  const random = seededRandom(1);
  const pauseMs = 3_000;
  const returns = Array.from({ length: 3_000 }, (_, refusedAt) => {
    const pauseEndsInMs = pauseMs - refusedAt;
    const supply = { registered: 1, paused: 1, limited: 0, pauseEndsInMs };
    return refusedAt + retryDelayMs(supply, 500, random());
  });
  t.true(returns.every((at) => at >= pauseMs));
  // One caller is refused each millisecond. A quarter of a second after the end, ten times as many return at most.
  const busiest = Math.max(
    ...Array.from({ length: 12 }, (_, slot) => {
      const from = pauseMs + slot * 250;
      return returns.filter((at) => at >= from && at < from + 250).length;
    }),
  );
  t.true(busiest <= 10 * 250, `${busiest} callers in 250 ms`);
});

test('while some upstream is not paused, the usual retry delay applies', (t) => {
  t.is(
    retryDelayMs({ registered: 2, paused: 1, limited: 0, pauseEndsInMs: undefined }, 500, 0.5),
    500,
  );
});

test('callers that are refused while every upstream is limited do not return at once', (t) => {
  const supply = { registered: 3, paused: 0, limited: 3, pauseEndsInMs: 0 };
  t.is(retryDelayMs(supply, 500, 0), 200);
  t.is(retryDelayMs({ ...supply, pauseEndsInMs: 1_000 }, 500, 0.5), 1_500);
});
