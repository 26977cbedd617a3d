import { PassThrough } from 'node:stream';

import test from 'ava';

import { readBody } from '../body.js';

const LIMIT_BYTES = 4_194_304;

const SEGMENTS = { segmentBytes: 65_536, takeSegment: () => Buffer.alloc(65_536) };

[LIMIT_BYTES + 1, 1_000_000_000, 5_000_000_000, 900_000_000_000_000].forEach((lengthBytes) => {
  test(`nothing is kept of a body that states a length of ${lengthBytes} bytes`, async (t) => {
    const source = new PassThrough();
    const received: number[] = [];
    const body = readBody({
      source,
      lengthBytes,
      limitBytes: LIMIT_BYTES,
      room: {
        ...SEGMENTS,
        take: () => Promise.resolve(true),
        grow: () => Promise.resolve(true),
        received: (bytes) => received.push(bytes),
        passed: () => undefined,
        onRevoke: () => undefined,
      },
    });
    source.write(Buffer.alloc(30_000));
    source.end(Buffer.alloc(LIMIT_BYTES));
    t.like(await body, { buffers: [], isTooLarge: true });
    t.deepEqual(received, []);
  });
});

test('a body whose small chunks arrive while it waits for room is whole, and its connection is held meanwhile', async (t) => {
  const source = new PassThrough();
  let grant: (isTaken: boolean) => void = () => undefined;
  const held: string[] = [];
  const body = readBody({
    source,
    connection: {
      hold: () => held.push('hold'),
      release: () => held.push('release'),
    },
    lengthBytes: undefined,
    limitBytes: LIMIT_BYTES,
    room: {
      ...SEGMENTS,
      take: () => true,
      grow: (bytes) =>
        bytes > 2 ||
        new Promise((resolve) => {
          grant = resolve;
        }),
      received: () => undefined,
      passed: () => undefined,
      onRevoke: () => undefined,
    },
  });
  for (let index = 0; index < 1_000; index += 1) source.write(Buffer.from('b'));
  source.end();
  await new Promise(setImmediate);
  t.is(source.readableLength, 0);
  t.deepEqual(held, ['hold']);
  grant(true);
  t.is(Buffer.concat((await body).buffers).length, 1_000);
  t.deepEqual(held, ['hold', 'release']);
});

test('the connection of a body that is refused after a wait is read on', async (t) => {
  const source = new PassThrough();
  const held: string[] = [];
  const body = readBody({
    source,
    connection: {
      hold: () => held.push('hold'),
      release: () => held.push('release'),
    },
    lengthBytes: undefined,
    limitBytes: LIMIT_BYTES,
    room: {
      ...SEGMENTS,
      take: () => true,
      grow: () => Promise.resolve(false),
      received: () => undefined,
      passed: () => undefined,
      onRevoke: () => undefined,
    },
  });
  source.write(Buffer.from('b'));
  t.like(await body, { buffers: [], isRefused: true });
  t.deepEqual(held, ['hold', 'release']);
});
