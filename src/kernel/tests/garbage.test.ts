import test from 'ava';

import { garbageCollector } from '../garbage.js';

const BUFFERS = 300;
const BUFFER_BYTES = 100_000;

/** Creates buffers that survive minor collections, and drops them. */
function createOldGarbage(collect: ReturnType<typeof garbageCollector>): number {
  const buffers = Array.from({ length: BUFFERS }, () => Buffer.allocUnsafeSlow(BUFFER_BYTES));
  collect('minor');
  collect('minor');
  return buffers.length;
}

test('a major collection frees what has survived minor ones', (t) => {
  const collect = garbageCollector();
  collect('major');
  const before = process.memoryUsage().arrayBuffers;
  t.is(createOldGarbage(collect), BUFFERS);
  // The first collection may still find references on the stack.
  collect('major');
  collect('major');
  const left = process.memoryUsage().arrayBuffers - before;
  t.true(left < (BUFFERS * BUFFER_BYTES) / 10, `${left} bytes left`);
});
