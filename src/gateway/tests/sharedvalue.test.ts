import test from 'ava';

import { FaultyStore } from '../../../testbed/faultystore.js';
import { readOrCreate } from '../sharedvalue.js';

import type { CallOutcome } from '../../../testbed/faultystore.js';

const KEY = 'fleet/number';

interface Row {
  readonly title: string;
  readonly stored: unknown;
  readonly proposed: number;
  /** Outcomes of the first store calls; later calls are answered. */
  readonly fates: readonly CallOutcome[];
  /** Value that all daemons are expected to use. */
  readonly agreed: number;
}

const ROWS: readonly Row[] = [
  { title: 'nothing is stored', stored: undefined, proposed: 8, fates: [], agreed: 8 },
  { title: 'another value is stored', stored: 2, proposed: 8, fates: [], agreed: 2 },
  { title: 'an invalid value is stored', stored: 'x', proposed: 8, fates: [], agreed: 8 },
  {
    title: 'the answer to the write is lost',
    stored: undefined,
    proposed: 8,
    fates: ['answered', 'lost-after'],
    agreed: 8,
  },
  {
    title: 'the store fails at first',
    stored: 2,
    proposed: 8,
    fates: ['refused', 'lost-before'],
    agreed: 2,
  },
];

function isNumber(value: unknown): value is number {
  return typeof value === 'number';
}

ROWS.forEach(({ title, stored, proposed, fates, agreed }) => {
  test(`daemons share a value: ${title}`, async (t) => {
    const left = [...fates];
    let isPrepared = false;
    const store = new FaultyStore(() => (isPrepared ? (left.shift() ?? 'answered') : 'answered'));
    if (stored !== undefined) await store.write(KEY, stored, 0);
    isPrepared = true;
    t.is(await readOrCreate(store, KEY, isNumber, () => proposed), agreed);
    t.is(store.peek(KEY), agreed);
  });
});

test('daemons that propose different values at the same time share one', async (t) => {
  const store = new FaultyStore(() => 'answered');
  const proposals = [1, 2, 3, 4, 5];
  const agreed = await Promise.all(
    proposals.map((proposal) => readOrCreate(store, KEY, isNumber, () => proposal)),
  );
  t.deepEqual(new Set(agreed).size, 1);
  t.is(store.peek(KEY), agreed[0]);
});
