import test from 'ava';

import { UpstreamLimits } from '../upstreamlimits.js';
import { UpstreamRegistry } from '../upstreams.js';

import type { LimitChange } from '../upstreamlimits.js';

const UPSTREAM = { id: 'u', startedAt: 1, address: '127.0.0.1:1' };
const NEXT_LIFE = { ...UPSTREAM, startedAt: 2 };

interface Row {
  readonly title: string;
  /** Limits with the times to which they apply: of receipt, or of sending if there is none. */
  readonly observed: readonly (readonly [limit: number | undefined, at: number])[];
  readonly changes: readonly (LimitChange | undefined)[];
  readonly limit: number | undefined;
}

const ROWS: readonly Row[] = [
  {
    title: 'an answer without a limit',
    observed: [[undefined, 1]],
    changes: [undefined],
    limit: undefined,
  },
  { title: 'an answer with a limit', observed: [[1.3, 1]], changes: ['named'], limit: 1.3 },
  { title: 'a limit of zero', observed: [[0, 1]], changes: ['named'], limit: 0 },
  {
    title: 'the same limit again',
    observed: [
      [1.3, 1],
      [1.3, 2],
    ],
    changes: ['named', undefined],
    limit: 1.3,
  },
  {
    title: 'a lower limit',
    observed: [
      [12, 1],
      [1.4, 2],
    ],
    changes: ['named', 'changed'],
    limit: 1.4,
  },
  {
    title: 'a request that was sent after the limit was named is answered without one',
    observed: [
      [1.3, 1],
      [undefined, 2],
    ],
    changes: ['named', 'ended'],
    limit: undefined,
  },
  {
    title: 'a request that was sent before the limit was named is answered without one',
    observed: [
      [1.3, 2],
      [undefined, 1],
    ],
    changes: ['named', undefined],
    limit: 1.3,
  },
  {
    title: 'an older limit is reported by another daemon',
    observed: [
      [1.3, 2],
      [12, 1],
    ],
    changes: ['named', undefined],
    limit: 1.3,
  },
  {
    title: 'a limit is reported that was named before the end of the last one',
    observed: [
      [1.3, 1],
      [undefined, 3],
      [1.3, 2],
    ],
    changes: ['named', 'ended', undefined],
    limit: undefined,
  },
  {
    title: 'a limit is named again',
    observed: [
      [1.3, 1],
      [undefined, 2],
      [3, 3],
    ],
    changes: ['named', 'ended', 'named'],
    limit: 3,
  },
];

ROWS.forEach(({ title, observed, changes, limit }) => {
  test(`the limit of an upstream after ${title}`, (t) => {
    const limits = new UpstreamLimits();
    t.deepEqual(
      observed.map(([named, at]) => limits.observe(UPSTREAM, { limit: named, at }, 10)),
      [...changes],
    );
    t.is(limits.limitOf(UPSTREAM), limit);
    t.is(limits.limitOf(NEXT_LIFE), undefined);
  });
});

test('an upstream is held after a denial until its time or the end of its limit', (t) => {
  const limits = new UpstreamLimits();
  limits.hold(UPSTREAM, 100);
  t.false(limits.isHeld(UPSTREAM, 1));
  limits.observe(UPSTREAM, { limit: 1.3, at: 1 }, 1);
  limits.hold(UPSTREAM, 100);
  t.true(limits.isHeld(UPSTREAM, 99));
  t.is(limits.heldMs(UPSTREAM, 40), 60);
  t.false(limits.isHeld(UPSTREAM, 100));
  limits.observe(UPSTREAM, { limit: undefined, at: 2 }, 2);
  t.false(limits.isHeld(UPSTREAM, 50));
});

test('no more permits are asked for at once than a limit allows in a second', (t) => {
  const limits = new UpstreamLimits();
  limits.observe(UPSTREAM, { limit: 1.3, at: 1 }, 1);
  limits.countAsking(UPSTREAM, 1);
  t.false(limits.isHeld(UPSTREAM, 2));
  limits.countAsking(UPSTREAM, 1);
  t.true(limits.isHeld(UPSTREAM, 2));
  limits.countAsking(UPSTREAM, -1);
  t.false(limits.isHeld(UPSTREAM, 2));
});

test('the limits of incarnations that are gone for a while are forgotten', (t) => {
  const limits = new UpstreamLimits();
  limits.observe(UPSTREAM, { limit: 1.3, at: 1 }, 1);
  limits.observe(NEXT_LIFE, { limit: 3, at: 1 }, 1);
  limits.retain([NEXT_LIFE], 50_000);
  limits.retain([NEXT_LIFE], 70_000);
  t.is(limits.limitOf(UPSTREAM), undefined);
  t.is(limits.limitOf(NEXT_LIFE), 3);
});

test('a request that was placed before its upstream named a limit is not sent, nor one whose permit has expired', (t) => {
  const record = {
    ...UPSTREAM,
    service: 's',
    dataCentre: 'a',
    capacity: 8,
    isLeaving: false,
    warmupMs: 0,
  };
  const registry = new UpstreamRegistry();
  registry.replace([record], 0);
  t.is(registry.refusalReason(record, 1), undefined);
  registry.limits.observe(record, { limit: 12, at: 2 }, 2);
  t.is(registry.refusalReason(record, 3), 'limited');
  t.is(registry.refusalReason(record, 300, 300), undefined);
  t.is(registry.refusalReason(record, 301, 300), 'limited');
  registry.signals.recordPause(record, 1_000, 3);
  t.is(registry.refusalReason(record, 300, 300), 'paused');
  registry.limits.observe(record, { limit: undefined, at: 4 }, 5);
  t.is(registry.refusalReason(record, 1_100), undefined);
});
