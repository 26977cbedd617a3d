import test from 'ava';

import { MEGABYTE_BYTES } from '../../kernel/index.js';
import { requestLimit } from '../requestlimit.js';

const ROWS = [
  { heapMb: 20, requests: 100 },
  { heapMb: 100, requests: 1_918 },
  { heapMb: 2_000, requests: 54_931 },
];

ROWS.forEach(({ heapMb, requests }) => {
  test(`a heap of ${heapMb} MB holds ${requests} requests`, (t) => {
    t.is(requestLimit(heapMb * MEGABYTE_BYTES), requests);
  });
});
