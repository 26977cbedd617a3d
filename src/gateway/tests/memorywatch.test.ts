import test from 'ava';

import { fileBytesOf } from '../memorywatch.js';

const ROWS: readonly { title: string; status: string; bytes: number }[] = [
  {
    title: 'of Linux',
    status: 'VmRSS:\t   85000 kB\nRssAnon:\t   43000 kB\nRssFile:\t   42000 kB\n',
    bytes: 43_008_000,
  },
  { title: 'without the line', status: 'VmRSS:\t   85000 kB\n', bytes: 0 },
  { title: 'that is empty', status: '', bytes: 0 },
];

ROWS.forEach(({ title, status, bytes }) => {
  test(`the size of pages of files is read from a status ${title}`, (t) => {
    t.is(fileBytesOf(status), bytes);
  });
});
