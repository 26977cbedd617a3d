import test from 'ava';

import { grant, topUp } from '../ledger.js';
import { parseShard } from '../shard.js';

import type { GrantRequest } from '../ledger.js';
import type { BudgetShard } from '../shard.js';

const EMPTY = parseShard(null);

const PAYMENT = { budget: 'b', workspace: 'w', operation: 'op-1', units: 1_000, at: 1 };

function paid(): BudgetShard {
  const change = topUp(EMPTY, PAYMENT);
  return change.kind === 'write' ? change.value : EMPTY;
}

function ask(fields: Partial<GrantRequest>): GrantRequest {
  return {
    holder: 'h~1',
    backup: null,
    budget: 'b',
    granted: 0,
    needed: 100,
    wanted: 400,
    ...fields,
  };
}

const GRANTS = [
  { title: 'grants the wanted units', ask: ask({}), granted: 400, left: 600 },
  { title: 'grants no more than is left', ask: ask({ wanted: 5_000 }), granted: 1_000, left: 0 },
  {
    title: 'grants nothing if fewer units are left than needed',
    ask: ask({ needed: 1_001 }),
    granted: 0,
    left: 1_000,
  },
  { title: 'grants nothing of an unknown budget', ask: ask({ budget: 'x' }), granted: 0, left: 0 },
] as const;

GRANTS.forEach((row) => {
  test(`grant: ${row.title}`, (t) => {
    const { outcome } = grant(paid(), row.ask);
    t.is(outcome.granted, row.granted);
    t.is(outcome.left, row.left);
  });
});

test('grant: a retry after a lost answer returns the earlier grant', (t) => {
  const first = grant(paid(), ask({}));
  t.is(first.kind, 'write');
  const again = grant(first.kind === 'write' ? first.value : EMPTY, ask({}));
  t.deepEqual(again, { kind: 'keep', outcome: { granted: 400, left: 600, known: true } });
});

test('topUp: a known operation id adds nothing', (t) => {
  t.deepEqual(topUp(paid(), PAYMENT), { kind: 'keep', outcome: { paid: 1_000, repeated: true } });
});
