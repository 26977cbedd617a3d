import test from 'ava';

import { MEGABYTE_BYTES } from '../../kernel/index.js';
import { requestLimit } from '../requestlimit.js';

const ROWS = [
  { heapMb: 20, startMb: 17, requests: 100 },
  { heapMb: 100, startMb: 17, requests: 1_403 },
  { heapMb: 100, startMb: 31, requests: 976 },
  { heapMb: 2_000, startMb: 31, requests: 44_464 },
];

ROWS.forEach(({ heapMb, startMb, requests }) => {
  test(`a heap of ${heapMb} MB, ${startMb} MB of it in use, holds ${requests} requests`, (t) => {
    t.is(requestLimit(heapMb * MEGABYTE_BYTES, startMb * MEGABYTE_BYTES), requests);
  });
});
