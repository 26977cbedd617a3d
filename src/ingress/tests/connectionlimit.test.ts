import test from 'ava';

import { MEGABYTE_BYTES } from '../../kernel/index.js';
import { connectionLimit, leastUseful } from '../connectionlimit.js';

import type { UsedConnection } from '../connectionlimit.js';

const NOW = 10_000;

[
  { limitMb: 10, maxRequests: 1_400, expected: 200 },
  { limitMb: 88, maxRequests: 1_400, expected: 313 },
  { limitMb: 120, maxRequests: 1_400, expected: 732 },
  { limitMb: 200, maxRequests: 1_400, expected: 1_356 },
  { limitMb: 200, maxRequests: 1_170.5, expected: 1_170 },
  { limitMb: 10, maxRequests: 100, expected: 100 },
].forEach(({ limitMb, maxRequests, expected }) => {
  test(`an instance of ${limitMb} MB that takes ${maxRequests} requests holds ${expected} connections`, (t) => {
    t.is(connectionLimit(limitMb * MEGABYTE_BYTES, maxRequests), expected);
  });
});

interface Row {
  readonly title: string;
  readonly connections: readonly UsedConnection[];
  /** Position of the one that is closed. */
  readonly expected: number | undefined;
}

const ROWS: readonly Row[] = [
  { title: 'there is none', connections: [], expected: undefined },
  {
    title: 'all have open requests',
    connections: [{ use: 'busy', useSince: 0 }],
    expected: undefined,
  },
  {
    title: 'one that has just been refused goes before an idle one',
    connections: [
      { use: 'idle', useSince: 0 },
      { use: 'discarding', useSince: NOW },
    ],
    expected: 1,
  },
  {
    title: 'one that was never used goes before an idle one',
    connections: [
      { use: 'idle', useSince: 0 },
      { use: 'unused', useSince: NOW - 1_000 },
    ],
    expected: 1,
  },
  {
    title: 'a new one may be about to bring its request',
    connections: [{ use: 'unused', useSince: NOW - 999 }],
    expected: undefined,
  },
  {
    title: 'a caller that has just been answered may be sending its next request',
    connections: [{ use: 'idle', useSince: NOW - 199 }],
    expected: undefined,
  },
  {
    title: 'an idle one goes before one whose body arrives slowly',
    connections: [
      { use: 'reading', useSince: 0 },
      { use: 'idle', useSince: NOW - 200 },
    ],
    expected: 1,
  },
  {
    title: 'a body has its time to arrive',
    connections: [{ use: 'reading', useSince: NOW - 999 }],
    expected: undefined,
  },
  {
    title: 'the one whose body has been arriving for longest',
    connections: [
      { use: 'reading', useSince: 200 },
      { use: 'reading', useSince: 100 },
      { use: 'busy', useSince: 0 },
    ],
    expected: 1,
  },
  {
    title: 'the one that has been idle for longest',
    connections: [
      { use: 'idle', useSince: 400 },
      { use: 'idle', useSince: 300 },
      { use: 'busy', useSince: 100 },
      { use: 'idle', useSince: 500 },
    ],
    expected: 1,
  },
];

ROWS.forEach(({ title, connections, expected }) => {
  test(`the least useful connection makes place for a new one: ${title}`, (t) => {
    const found = leastUseful(connections, NOW);
    t.is(found && connections.indexOf(found), expected);
  });
});
