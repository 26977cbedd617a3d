import test from 'ava';

import { grant, topUp, unallocated } from '../ledger.js';
import { recordBackup, recordHeartbeat, settle } from '../settlement.js';
import { parseShard } from '../shard.js';

import type { UpdateDecision } from '../../store/index.js';
import type { ChargeLine } from '../charge.js';
import type { EntryAnswer } from '../settlement.js';
import type { BudgetShard, HolderEntry } from '../shard.js';

function after<Outcome>(
  shard: BudgetShard,
  change: UpdateDecision<BudgetShard, Outcome>,
): BudgetShard {
  return change.kind === 'write' ? change.value : shard;
}

function granted(): BudgetShard {
  const empty = parseShard(null);
  const payment = { budget: 'b', workspace: 'w', operation: 'op-1', units: 1_000, at: 1 };
  const paid = after(empty, topUp(empty, payment));
  const ask = { holder: 'h~1', backup: 'p~1', budget: 'b', granted: 0, needed: 100, wanted: 400 };
  return after(paid, grant(paid, ask));
}

function line(sequence: number, units: number): ChargeLine {
  const key = `k${sequence}`;
  return { key, workspace: 'w', budget: 'b', units, holder: 'h~1', sequence, at: 1 };
}

function inState(state: HolderEntry['state'], recoverer: string | null): BudgetShard {
  const shard = granted();
  return { ...shard, holders: shard.holders.map((entry) => ({ ...entry, state, recoverer })) };
}

test('settle: a line that is delivered twice is charged once', (t) => {
  const delivery = { holder: 'h~1', by: 'h~1', lines: [line(1, 30), line(2, 20)] };
  const once = settle(granted(), delivery);
  t.deepEqual(once.outcome, { settled: 2, backup: 'p~1', standby: null, fenced: false });
  const value = after(granted(), once);
  t.is(value.budgets[0]?.rows[0]?.spent, 50);
  t.deepEqual(settle(value, delivery), {
    kind: 'keep',
    outcome: { settled: 2, backup: 'p~1', standby: null, fenced: false },
  });
  t.is(unallocated(value.budgets[0] ?? granted().budgets[0]!), 600);
});

const WRITERS = [
  { state: 'active', recoverer: null, by: 'h~1', isAllowed: true },
  { state: 'active', recoverer: null, by: 'r~1', isAllowed: false },
  { state: 'recovering', recoverer: 'r~1', by: 'h~1', isAllowed: false },
  { state: 'recovering', recoverer: 'r~1', by: 'r~1', isAllowed: true },
  { state: 'recovering', recoverer: 'r~1', by: 'r~2', isAllowed: false },
  { state: 'recovering', recoverer: 'h~1', by: 'h~1', isAllowed: true },
  { state: 'ended', recoverer: 'r~1', by: 'r~1', isAllowed: false },
  { state: 'ended', recoverer: 'r~1', by: 'h~1', isAllowed: false },
] as const;

WRITERS.forEach(({ state, recoverer, by, isAllowed }) => {
  const verb = isAllowed ? 'may' : 'may not';
  test(`settle: ${by} ${verb} settle lines of h~1, ${state} by ${recoverer ?? 'nobody'}`, (t) => {
    const shard = inState(state, recoverer);
    const change = settle(shard, { holder: 'h~1', by, lines: [line(1, 30)] });
    t.is(change.outcome.fenced, !isAllowed);
    t.is(after(shard, change).budgets[0]?.rows[0]?.spent, isAllowed ? 30 : 0);
  });
});

const LATE: readonly {
  readonly title: string;
  readonly write: (shard: BudgetShard) => UpdateDecision<BudgetShard, EntryAnswer>;
}[] = [
  {
    title: 'records a backup',
    write: (shard) => recordBackup(shard, { holder: 'h~1', backup: 'q~1', joined: true }),
  },
  { title: 'records a heartbeat', write: (shard) => recordHeartbeat(shard, 'h~1') },
];

LATE.forEach(({ title, write }) => {
  test(`a holder ${title} only while it is active`, (t) => {
    t.false(write(granted()).outcome.fenced);
    const stopped = [inState('recovering', 'r~1'), inState('ended', 'r~1')];
    const closed = { ...granted(), holders: [] };
    [...stopped, closed].forEach((shard) => {
      const change = write(shard);
      t.is(change.kind, 'keep');
      t.true(change.outcome.fenced);
    });
  });
});

test('grant: a holder whose entry is not active, or was closed, receives nothing', (t) => {
  const ask = {
    holder: 'h~1',
    backup: null,
    budget: 'b',
    granted: 400,
    needed: 1,
    wanted: 9,
    entered: true,
  };
  const closed = { ...granted(), holders: [] };
  [inState('recovering', 'r~1'), inState('ended', 'r~1'), closed].forEach((shard) => {
    t.deepEqual(grant(shard, ask), {
      kind: 'keep',
      outcome: { granted: 0, left: 0, known: true, fenced: true },
    });
  });
});

test('recordBackup: a new holder joins once', (t) => {
  const shard = parseShard(null);
  const change = recordBackup(shard, { holder: 'h~1', backup: 'p~1', joined: false });
  t.deepEqual(change.outcome, { settled: 0, backup: 'p~1', standby: null, fenced: false });
  const again = recordBackup(after(shard, change), {
    holder: 'h~1',
    backup: 'p~1',
    joined: false,
  });
  t.is(again.kind, 'keep');
});
