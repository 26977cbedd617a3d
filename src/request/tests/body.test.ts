import { PassThrough } from 'node:stream';

import test from 'ava';

import { readBody } from '../body.js';

const LIMIT_BYTES = 4_194_304;

[LIMIT_BYTES + 1, 1_000_000_000, 5_000_000_000, 900_000_000_000_000].forEach((lengthBytes) => {
  test(`nothing is kept of a body that states a length of ${lengthBytes} bytes`, async (t) => {
    const source = new PassThrough();
    const received: number[] = [];
    const body = readBody({
      source,
      lengthBytes,
      limitBytes: LIMIT_BYTES,
      room: {
        take: () => Promise.resolve(true),
        grow: () => Promise.resolve(true),
        received: (bytes) => received.push(bytes),
        passed: () => undefined,
        onRevoke: () => undefined,
      },
    });
    source.write(Buffer.alloc(30_000));
    source.end(Buffer.alloc(LIMIT_BYTES));
    t.like(await body, { bytes: undefined, isTooLarge: true });
    t.deepEqual(received, []);
  });
});
