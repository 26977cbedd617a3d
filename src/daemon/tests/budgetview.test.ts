import test from 'ava';

import { parseShard, topUp } from '../../budget/index.js';
import { viewBudgets } from '../budgetview.js';

import type { BudgetShard } from '../../budget/index.js';

const PAYMENT = { budget: 'main', workspace: 'shop', operation: 'p-1', units: 100, at: 1 };

function paid(): BudgetShard {
  const change = topUp(parseShard(null), PAYMENT);
  return change.kind === 'write' ? change.value : parseShard(null);
}

const NOTHING = { paid: 0, spent: 0, granted: 0, held: 0, left: 0 };

test('budgets: lists a published budget without payments with zero counters', (t) => {
  t.deepEqual(viewBudgets([{ name: 'spare', workspace: 'shop' }], [paid()]), [
    { ...NOTHING, name: 'main', workspace: 'shop', paid: 100, left: 100 },
    { ...NOTHING, name: 'spare', workspace: 'shop' },
  ]);
});
