import { PassThrough } from 'node:stream';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { drainBody } from '../bodydrain.js';

import type { DrainEnd } from '../bodydrain.js';

const BOUNDS = { bytes: 1_000, ms: 200 };

interface Row {
  readonly title: string;
  /** What happens on the connection. */
  readonly play: (source: PassThrough) => void;
  readonly expected: DrainEnd;
  /** Number of bytes that are read. */
  readonly bytes: number;
}

const ROWS: readonly Row[] = [
  {
    title: 'the body ends',
    play: (source) => source.end(Buffer.alloc(900)),
    expected: 'ended',
    bytes: 900,
  },
  {
    title: 'the body has ended before',
    play: (source) => source.resume().end(),
    expected: 'ended',
    bytes: 0,
  },
  {
    title: 'the connection is closed',
    play: (source) => setTimeout(() => source.destroy(), 20),
    expected: 'closed',
    bytes: 0,
  },
  {
    title: 'the connection was closed before',
    play: (source) => source.destroy(),
    expected: 'closed',
    bytes: 0,
  },
  {
    title: 'the connection breaks',
    play: (source) => setTimeout(() => source.destroy(new Error('reset')), 20),
    expected: 'closed',
    bytes: 0,
  },
  {
    title: 'the body goes on beyond the bound',
    play: (source) => [400, 400, 400].forEach((bytes) => source.write(Buffer.alloc(bytes))),
    expected: 'too-long',
    bytes: 1_200,
  },
  {
    title: 'the caller falls silent',
    play: (source) => source.write(Buffer.alloc(10)),
    expected: 'too-slow',
    bytes: 10,
  },
];

ROWS.forEach(({ title, play, expected, bytes }) => {
  test(`the rest of a refused body is read within bounds: ${title}`, async (t) => {
    const source = new PassThrough({ highWaterMark: 10_000 });
    play(source);
    if (expected === 'ended' && bytes === 0) await delay(20);
    let readBytes = 0;
    const end = await drainBody(source, BOUNDS, (count) => {
      readBytes += count;
    });
    t.deepEqual([end, readBytes], [expected, bytes]);
    source.write(Buffer.alloc(10), () => undefined);
    await delay(10);
    t.is(readBytes, bytes);
    source.on('error', () => undefined);
  });
});
