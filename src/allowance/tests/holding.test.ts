import test from 'ava';

import { receiveGrant } from '../../budget/index.js';
import {
  applyWrittenLine,
  hasGrantedUnits,
  needsDraw,
  openHolding,
  returnIdleUnits,
} from '../holding.js';

import type { AllowanceHolding, AllowancePolicy } from '../holding.js';

const POLICY: AllowancePolicy = {
  aloneSeconds: 10,
  exposure: 0.2,
  idlePart: 0.5,
  daemons: 10,
  smoothingMs: 1_000,
};

/**
 * A workspace with 100,000 unspent units: 100,000 * 0.2 * 0.5 / 10 = 1,000 for a daemon without
 * demand.
 */
function holdingOf(granted: number, free: number): AllowanceHolding {
  const holding = openHolding('w', POLICY, 0);
  const view = { workspace: 'w', free, unspent: 100_000, retired: 0, othersRate: 0, others: [] };
  return { ...holding, escrow: receiveGrant(holding.escrow, granted), view };
}

const ROWS = [
  { title: 'its target', granted: 1_000, policy: POLICY, draws: false, left: 1_000 },
  { title: 'less than its target', granted: 100, policy: POLICY, draws: true, left: 100 },
  {
    title: 'less than twice its target',
    granted: 1_900,
    policy: POLICY,
    draws: false,
    left: 1_900,
  },
  { title: 'more than twice its target', granted: 9_000, policy: POLICY, draws: true, left: 1_000 },
  {
    title: 'some units with a target of 0',
    granted: 3_000,
    policy: { ...POLICY, exposure: 0 },
    draws: true,
    left: 0,
  },
] as const;

ROWS.forEach(({ title, granted, policy, draws, left }) => {
  test(`a daemon that holds ${title} ${draws ? 'draws at once' : 'waits'}`, (t) => {
    const holding = holdingOf(granted, 50_000);
    t.is(needsDraw(holding, policy, 0), draws);
    const { escrow } = returnIdleUnits(holding, policy, 0);
    t.is(escrow.granted - escrow.returned, left);
  });
});

const KEPT = [
  { title: 'as many as it keeps', granted: 3_000, left: 3_000 },
  { title: 'more than twice as many as it keeps', granted: 7_000, left: 3_000 },
] as const;

KEPT.forEach(({ title, granted, left }) => {
  test(`a borrower gives up the units of its next requests while its row is written: it holds ${title}`, (t) => {
    const policy = { ...POLICY, exposure: 0 };
    const { escrow } = returnIdleUnits(holdingOf(granted, 50_000), policy, 0, 3_000);
    t.is(escrow.granted - escrow.returned, left);
  });
});

test('units of a draw that may not be used without a copy stay in the row for good', (t) => {
  const holding = holdingOf(0, 50_000);
  const line = { workspace: 'w', granted: 4_000, spent: 0, rate: 0 };
  if (!holding.view) throw new Error('no view');
  const written = applyWrittenLine(holding, { line, grant: 0 }, holding.view, 0);
  t.true(hasGrantedUnits(written), 'the row is kept up to date');
  t.true(needsDraw(written, { ...POLICY, exposure: 0 }, 0), 'the units are given back');
});
