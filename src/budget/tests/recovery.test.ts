import test from 'ava';

import { unallocated } from '../ledger.js';
import {
  claimRecovery,
  closeEnded,
  releaseOnShutdown,
  finishRecovery,
  HOLD_CAUSES,
  heldUnits,
  settleHeld,
} from '../recovery.js';
import { newHolderEntry } from '../shard.js';

import type { UpdateDecision } from '../../store/index.js';
import type { Exposure } from '../recovery.js';
import type { BudgetShard, HolderEntry, HolderRow } from '../shard.js';

function after<Outcome>(
  shard: BudgetShard,
  change: UpdateDecision<BudgetShard, Outcome>,
): BudgetShard {
  return change.kind === 'write' ? change.value : shard;
}

function shardWith(fields: Partial<HolderEntry>, spent = 100): BudgetShard {
  return {
    budgets: [
      {
        name: 'b',
        workspace: 'w',
        paid: 1_000,
        topUps: [],
        retired: 0,
        credited: 0,
        settlements: [],
        rows: [{ holder: 'h~1', granted: 600, spent, returned: 0 }],
      },
    ],
    holders: [{ ...newHolderEntry('h~1', 'p~1'), ...fields }],
  };
}

const RECOVERING = { state: 'recovering', recoverer: 'r~1' } as const;

function freeIn(shard: BudgetShard): number {
  const [budget] = shard.budgets;
  return budget ? unallocated(budget) : -1;
}

test('claimRecovery: the latest claim wins, an ended holder cannot be claimed', (t) => {
  const first = claimRecovery(shardWith({}), 'h~1', 'r~1');
  t.true(first.outcome.isAllowed);
  t.is(first.outcome.entry?.cause, HOLD_CAUSES.fencing);
  const shard = after(shardWith({}), first);
  t.deepEqual(claimRecovery(shard, 'h~1', 'r~1').kind, 'keep');
  t.is(claimRecovery(shard, 'h~1', 'r~2').outcome.entry?.recoverer, 'r~2');
  t.false(claimRecovery(shardWith({ state: 'ended' }), 'h~1', 'r~2').outcome.isAllowed);
});

const NONE: Exposure = { budget: 'b', reservedTotal: 0, releasedTotal: 0, passed: 0 };

const FINISHES = [
  { title: 'releases all units but the window', exposures: [], window: 50, held: 50 },
  {
    title: 'holds open reservations and loans',
    exposures: [{ ...NONE, reservedTotal: 300, releasedTotal: 200, passed: 25 }],
    window: 50,
    held: 175,
  },
  {
    title: 'holds no more units than the row has',
    exposures: [{ ...NONE, reservedTotal: 10_000 }],
    window: 50,
    held: 500,
  },
] as const;

FINISHES.forEach(({ title, exposures, window, held }) => {
  test(`finishRecovery: ${title}`, (t) => {
    const shard = shardWith(RECOVERING);
    const ask = { holder: 'h~1', by: 'r~1', known: { exposures, window } };
    const done = after(shard, finishRecovery(shard, ask));
    t.deepEqual(
      heldUnits(done).map(({ units, cause, state }) => ({ units, cause, state })),
      [{ units: held, cause: HOLD_CAUSES.open, state: 'ended' }],
    );
    t.is(freeIn(done), 1_000 - 100 - held);
  });
});

test('finishRecovery: a replaced recoverer releases nothing', (t) => {
  const ask = { holder: 'h~1', by: 'r~0', known: { exposures: [], window: 0 } };
  t.deepEqual(finishRecovery(shardWith(RECOVERING), ask).kind, 'keep');
  t.deepEqual(finishRecovery(shardWith({}), ask).kind, 'keep');
});

test('heldUnits: units of an active holder are in use, not held', (t) => {
  t.deepEqual(heldUnits(shardWith({})), []);
  t.is(heldUnits(shardWith(RECOVERING))[0]?.units, 500);
});

const CONCESSIONS = [
  { title: 'an active holder releases all units', entry: {}, lent: 0, free: 900 },
  { title: 'unrecorded loans stay held', entry: {}, lent: 40, free: 860 },
  {
    title: 'an ended holder releases all units that are still held',
    entry: { state: 'ended' },
    lent: 0,
    free: 900,
  },
  {
    title: 'nothing is released while another incarnation recovers the holder',
    entry: RECOVERING,
    lent: 0,
    free: 400,
  },
  {
    title: 'a holder that recovers itself releases all units',
    entry: { state: 'recovering', recoverer: 'h~1' },
    lent: 0,
    free: 900,
  },
] as const;

CONCESSIONS.forEach(({ title, entry, lent, free }) => {
  test(`releaseOnShutdown: ${title}`, (t) => {
    const shard = shardWith(entry);
    t.is(
      freeIn(
        after(
          shard,
          releaseOnShutdown(shard, 'h~1', () => lent),
        ),
      ),
      free,
    );
  });
});

const ORDER = { holder: 'h~1', budget: 'b', operation: 'op-9', at: 5 };

test('settleHeld: returns held units once for each operation id', (t) => {
  const shard = shardWith(RECOVERING);
  const change = settleHeld(shard, ORDER);
  t.deepEqual(change.outcome, { known: true, active: false, units: 500, repeated: false });
  const settled = after(shard, change);
  t.is(freeIn(settled), 900);
  t.is(settled.holders[0]?.state, 'ended');
  t.deepEqual(settleHeld(settled, ORDER), {
    kind: 'keep',
    outcome: { known: true, active: false, units: 500, repeated: true },
  });
});

const REFUSED = [
  { title: 'an active holder', entry: {}, order: ORDER, known: true, active: true },
  {
    title: 'an unknown holder',
    entry: RECOVERING,
    order: { ...ORDER, holder: 'x~1' },
    known: false,
    active: false,
  },
  {
    title: 'an unknown budget',
    entry: RECOVERING,
    order: { ...ORDER, budget: 'x' },
    known: false,
    active: false,
  },
] as const;

REFUSED.forEach(({ title, entry, order, known, active }) => {
  test(`settleHeld: refuses ${title}`, (t) => {
    t.deepEqual(settleHeld(shardWith(entry), order), {
      kind: 'keep',
      outcome: { known, active, units: 0, repeated: false },
    });
  });
});

const CLOSINGS = [
  {
    title: 'closes an ended holder without held units whose lines are in the statement',
    entry: { state: 'ended' },
    spent: 600,
    mark: 3,
    n: 1,
  },
  {
    title: 'keeps a holder with lines that are not in the statement',
    entry: { state: 'ended' },
    spent: 600,
    mark: 2,
    n: 0,
  },
  { title: 'keeps a holder with held units', entry: { state: 'ended' }, spent: 599, mark: 3, n: 0 },
  { title: 'keeps an active holder', entry: {}, spent: 600, mark: 3, n: 0 },
] as const;

CLOSINGS.forEach(({ title, entry, spent, mark, n }) => {
  test(`closeEnded: ${title}`, (t) => {
    const shard = shardWith({ ...entry, settled: 3 }, spent);
    const change = closeEnded(shard, new Map([['h~1', mark]]));
    t.is(change.outcome, n);
    const done = after(shard, change);
    t.is(done.holders.length, 1 - n);
    t.is(done.budgets[0]?.retired, n * spent);
    t.is(freeIn(done), freeIn(shard));
  });
});

function withRow(shard: BudgetShard, fields: Partial<HolderRow>): BudgetShard {
  const budgets = shard.budgets.map((budget) => ({
    ...budget,
    rows: budget.rows.map((row) => ({ ...row, ...fields })),
  }));
  return { ...shard, budgets };
}

test('finishRecovery: loans that the rows already show are not held again', (t) => {
  const recorded = { returned: 20, passed: [{ peer: 'x~1', units: 20 }] };
  const shard = withRow(shardWith(RECOVERING), recorded);
  const exposures = [{ ...NONE, passed: 25 }];
  const ask = { holder: 'h~1', by: 'r~1', known: { exposures, window: 50 } };
  const done = after(shard, finishRecovery(shard, ask));
  t.is(heldUnits(done)[0]?.units, 55);
});

test('closeEnded: units that arrive after a recovery are released, except for the hold', (t) => {
  const shard = withRow(shardWith({ state: 'ended' }, 100), { granted: 300, hold: 50 });
  const change = closeEnded(shard, new Map());
  t.is(change.outcome, 0);
  t.is(heldUnits(after(shard, change))[0]?.units, 50);
  t.is(closeEnded(after(shard, change), new Map()).kind, 'keep');
});

test('closeEnded: keeps a row whose spent units come from a loan that is not recorded yet', (t) => {
  const shard = withRow(shardWith({ state: 'ended' }, 100), { granted: 90 });
  t.is(closeEnded(shard, new Map()).kind, 'keep');
});
