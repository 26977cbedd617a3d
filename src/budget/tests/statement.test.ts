import test from 'ava';

import { applyCredits, EMPTY_PAGE, fold, PAGE_LINES } from '../statement.js';
import { topUp, unallocated } from '../ledger.js';
import { takeFittingLines } from '../charge.js';
import { parseShard } from '../shard.js';

import type { ChargeLine } from '../charge.js';

function line(holder: string, sequence: number, key: string): ChargeLine {
  return { key, workspace: 'w', budget: 'b', units: 10, holder, sequence, at: 1 };
}

const known = new Set(['w\nold']);
const base = { page: EMPTY_PAGE, isKnown: (request: string): boolean => known.has(request) };

test('fold: the first line of a request is billed, later ones are credited', (t) => {
  const lines = [line('a~1', 1, 'x'), line('b~1', 1, 'x'), line('b~1', 2, 'old')];
  const { isNewPage, page } = fold({ ...base, lines, holdersWithEntry: ['a~1', 'b~1'] });
  t.false(isNewPage);
  t.deepEqual(page, {
    lines: [lines[0]],
    duplicates: [lines[1], lines[2]],
    marks: [
      { holder: 'a~1', through: 1 },
      { holder: 'b~1', through: 2 },
    ],
    credits: [{ budget: 'b', units: 20 }],
  });
});

test('fold: lines up to a mark are ignored, marks of closed holders are dropped', (t) => {
  const first = fold({ ...base, lines: [line('a~1', 1, 'x')], holdersWithEntry: ['a~1'] });
  const lines = [line('a~1', 1, 'x'), line('b~1', 1, 'y')];
  const { page } = fold({ ...base, page: first.page, lines, holdersWithEntry: ['b~1'] });
  t.deepEqual(
    page.lines.map(({ key }) => key),
    ['x', 'y'],
  );
  t.deepEqual(page.duplicates, []);
  t.deepEqual(page.marks, [{ holder: 'b~1', through: 1 }]);
});

test('fold: a full page is followed by a new one that keeps marks and credits', (t) => {
  const lines = Array.from({ length: PAGE_LINES }, (_, at) => line('a~1', at + 1, `k${at}`));
  const full = fold({ ...base, lines, holdersWithEntry: ['a~1'] }).page;
  const page = { ...full, credits: [{ budget: 'b', units: 7 }] };
  const next = fold({
    ...base,
    page,
    lines: [line('a~1', PAGE_LINES + 1, 'z')],
    holdersWithEntry: ['a~1'],
  });
  t.true(next.isNewPage);
  t.is(next.page.lines.length, 1);
  t.deepEqual(next.page.marks, [{ holder: 'a~1', through: PAGE_LINES + 1 }]);
  t.deepEqual(next.page.credits, [{ budget: 'b', units: 7 }]);
});

test('applyCredits: units of duplicates are credited to the budget once', (t) => {
  const empty = parseShard(null);
  const payment = { budget: 'b', workspace: 'w', operation: 'op-1', units: 100, at: 1 };
  const paid = topUp(empty, payment);
  const shard = paid.kind === 'write' ? paid.value : empty;
  const page = { ...EMPTY_PAGE, credits: [{ budget: 'b', units: 20 }] };
  const change = applyCredits(shard, page);
  const value = change.kind === 'write' ? change.value : shard;
  t.is(unallocated(value.budgets[0] ?? shard.budgets[0]!), 120);
  t.is(applyCredits(value, page).kind, 'keep');
});

test('takeFittingLines: lines of any size fit into one object', (t) => {
  const long = 'x'.repeat(16_000);
  const lines = Array.from({ length: 100 }, (_, at) => line('a~1', at + 1, `${long}${at}`));
  t.is(takeFittingLines(lines, 1_000).length, 24);
  t.is(takeFittingLines(lines, 10).length, 10);
  t.is(takeFittingLines([line('a~1', 1, 'x'.repeat(500_000))], 10).length, 1);
  t.deepEqual(takeFittingLines([], 10), []);
});

test('fold: a page of long lines is full before its maximum number of lines', (t) => {
  const lines = Array.from({ length: 30 }, (_, at) => line('a~1', at + 1, 'x'.repeat(16_000)));
  const { page } = fold({ ...base, lines, holdersWithEntry: ['a~1'] });
  const next = fold({ ...base, page, lines: [line('a~1', 31, 'z')], holdersWithEntry: ['a~1'] });
  t.true(next.isNewPage);
});
