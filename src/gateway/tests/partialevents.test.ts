import test from 'ava';

import { PartialEvents } from '../partialevents.js';

const MEGABYTE = 1_048_576;

/** Memory that the incomplete events of a daemon may take, in bytes. */
const MAX_BYTES = 16 * MEGABYTE;

interface Row {
  readonly title: string;
  /** Size of the incomplete event of each attempt, in bytes. */
  readonly sizes: readonly number[];
  /** Attempts that end, by position. */
  readonly ended: readonly number[];
}

const ROWS: readonly Row[] = [
  { title: 'none while they fit', sizes: Array(16).fill(MEGABYTE), ended: [] },
  { title: 'the largest', sizes: [MEGABYTE, 15 * MEGABYTE, 1_000], ended: [1] },
  { title: 'the largest, also if it is the newest', sizes: [1_000, 17 * MEGABYTE], ended: [1] },
  { title: 'one of many', sizes: [1_000, ...Array(17).fill(MEGABYTE)], ended: [1, 2] },
];

ROWS.forEach(({ title, sizes, ended }) => {
  test(`incomplete events of many attempts take a limited memory together; attempts that end: ${title}`, (t) => {
    const partials = new PartialEvents();
    const found: number[] = [];
    sizes.forEach((bytes, position) => {
      partials.record({ onTooManyPartials: () => found.push(position) }, bytes);
      t.true(partials.bytes <= MAX_BYTES);
    });
    t.deepEqual(found, ended);
  });
});

test('a complete event takes no memory', (t) => {
  const partials = new PartialEvents();
  const holder = { onTooManyPartials: () => undefined };
  [10, 20, 0].forEach((bytes) => partials.record(holder, bytes));
  t.is(partials.bytes, 0);
});
