import test from 'ava';

import { failure, formatFailure } from '../../kernel/index.js';
import { exitCodeOf } from '../exitcodes.js';
import { formatTable } from '../output.js';

const EXIT_CASES = [
  { fail: failure('conflict', 'x'), code: 1 },
  { fail: failure('not-found', 'x'), code: 1 },
  { fail: failure('operator-key', 'x'), code: 1 },
  { fail: failure('operation-reused', 'x'), code: 1 },
  { fail: failure('invalid', 'x'), code: 2 },
  { fail: failure('malformed-request', 'x'), code: 2 },
  { fail: failure('store-unavailable', 'x'), code: 3 },
  { fail: failure('conflict', 'x', 'unknown'), code: 3 },
] as const;

EXIT_CASES.forEach(({ fail, code }) => {
  test(`exit code of ${fail.code}, outcome ${fail.outcome}`, (t) => {
    t.is(exitCodeOf(formatFailure(fail)), code);
  });
});

const TABLES = [
  { title: 'no rows', rows: [], text: '(none)' },
  {
    title: 'text is aligned left, numbers right',
    rows: [
      { name: 'main', paid: 5 },
      { name: 'b', paid: 12_345 },
    ],
    text: 'name  paid\nmain      5\nb     12345',
  },
] as const;

TABLES.forEach(({ title, rows, text }) => {
  test(`table: ${title}`, (t) => {
    t.is(formatTable(rows), text);
  });
});
