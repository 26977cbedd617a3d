import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import test from 'ava';
import * as fc from 'fast-check';

import { EventStream } from '../eventstream.js';

const LINE_ENDS = ['\n', '\r\n', '\r'] as const;
const LINES = ['', '', 'id: 1', 'data: a', ': ping', 'event: x'] as const;

/** What a stream has relayed, counted and kept after some chunks. */
function stateAfter(chunks: readonly string[]): object {
  const stream = new EventStream();
  const relayed = chunks.map((chunk) => stream.push(Buffer.from(chunk, 'latin1')).bytes);
  return {
    relayed: Buffer.concat(relayed).toString('latin1'),
    events: stream.events,
    lastId: stream.lastId,
    isPartial: stream.isPartial,
  };
}

const bodies = fc
  .tuple(
    fc.constantFrom(...LINE_ENDS),
    fc.array(fc.constantFrom(...LINES), { maxLength: 12 }),
    fc.constantFrom('', 'da', ':', 'id: 9'),
  )
  .map(([lineEnd, lines, rest]) => `${lines.map((line) => line + lineEnd).join('')}${rest}`);

test('events are the same however the stream is split into chunks', (t) => {
  fc.assert(
    fc.property(bodies, fc.array(fc.nat({ max: 60 }), { maxLength: 6 }), (body, cuts) => {
      const bounds = [0, ...cuts.map((cut) => Math.min(cut, body.length)), body.length];
      bounds.sort((a, b) => a - b);
      const chunks = bounds.slice(1).map((to, index) => body.slice(bounds[index], to));
      t.deepEqual(stateAfter(chunks), stateAfter([body]));
    }),
    { seed: 8_101 },
  );
});

interface Row {
  readonly title: string;
  readonly chunks: readonly string[];
  /** Bytes that may be relayed. */
  readonly relayed: string;
  readonly isPartial: boolean;
}

const ROWS: readonly Row[] = [
  {
    title: 'a line end that is split between two chunks ends one line',
    chunks: ['id: 1\r', '\n'],
    relayed: '',
    isPartial: true,
  },
  {
    title: 'an event whose last line end is split',
    chunks: ['id: 1\r\n\r', '\n'],
    relayed: 'id: 1\r\n\r\n',
    isPartial: false,
  },
  {
    title: 'a comment between events is relayed at once',
    chunks: ['id: 1\n\n: ping\n'],
    relayed: 'id: 1\n\n: ping\n',
    isPartial: false,
  },
  {
    title: 'a comment inside an event waits for its end',
    chunks: ['id: 1\n: ping\n'],
    relayed: '',
    isPartial: true,
  },
  {
    title: 'an empty line with another kind of line end',
    chunks: ['id: 1\r\n\n'],
    relayed: 'id: 1\r\n\n',
    isPartial: false,
  },
];

ROWS.forEach(({ title, chunks, relayed, isPartial }) => {
  test(`parts of a stream that may be relayed: ${title}`, (t) => {
    t.like(stateAfter(chunks), { relayed, isPartial });
  });
});

test('a stream that is resumed continues with a new line', (t) => {
  const stream = new EventStream();
  stream.push(Buffer.from('id: 1\n\nid: 2\r'));
  stream.discardPartial();
  const { bytes } = stream.push(Buffer.from('\nid: 2\n\n'));
  t.is(bytes.toString(), '\nid: 2\n\n');
  t.is(stream.events, 2);
});

test('an empty id does not replace the last one', (t) => {
  const stream = new EventStream();
  stream.push(Buffer.from('id: 1\n\nid:\ndata: 5\n\n'));
  t.is(stream.lastId, '1');
});

/** Size of an event that arrives in chunks of one byte. */
const LONG_EVENT_BYTES = 200_000;

/** Time within which it is read, in milliseconds: a fraction of what a busy daemon may be silent. */
const LONG_EVENT_MS = 500;

// The time to read an event must grow with its size, not with the square of it, or one stream occupies the daemon.
test('a long event is read in time although each byte is a chunk of its own', (t) => {
  const stream = new EventStream();
  const byte = Buffer.from('x');
  const startedAt = performance.now();
  for (let at = 0; at < LONG_EVENT_BYTES; at += 1) stream.push(byte);
  const { bytes, count } = stream.push(Buffer.from('\n\n'));
  const tookMs = Math.round(performance.now() - startedAt);
  t.is(count, 1);
  t.is(bytes.length, LONG_EVENT_BYTES + 2);
  t.true(tookMs < LONG_EVENT_MS, `${tookMs} ms`);
});

/** Number and size of the buffers of which an incomplete event holds a byte each. */
const READS = 1_000;
const READ_BYTES = 65_536;

/** Memory that the incomplete event may take, in bytes: a small part of those buffers. */
const MAX_HELD_BYTES = 4_194_304;

test('an incomplete event does not hold the memory of what was received with it', async (t) => {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const stream = new EventStream();
  collectGarbage();
  const before = process.memoryUsage().arrayBuffers;
  for (let read = 0; read < READS; read += 1) {
    stream.push(Buffer.alloc(READ_BYTES, 'x').subarray(0, 1));
  }
  let held = Infinity;
  // V8 frees the memory of collected buffers in the background.
  for (let round = 0; round < 10 && held >= MAX_HELD_BYTES; round += 1) {
    collectGarbage();
    // eslint-disable-next-line no-await-in-loop
    await delay(20);
    held = process.memoryUsage().arrayBuffers - before;
  }
  t.true(held < MAX_HELD_BYTES, `${held} bytes`);
  t.is(stream.push(Buffer.from('\n\n')).bytes.length, READS + 2);
});

interface SizeRow {
  readonly title: string;
  readonly chunkBytes: number;
  readonly chunks: number;
  readonly isOversized: boolean;
}

const SIZE_ROWS: readonly SizeRow[] = [
  { title: 'a megabyte in large chunks', chunkBytes: 65_536, chunks: 16, isOversized: false },
  { title: 'more than a megabyte', chunkBytes: 65_536, chunks: 17, isOversized: true },
  { title: 'several kilobytes, byte by byte', chunkBytes: 1, chunks: 16_384, isOversized: false },
  { title: 'bytes without end, one by one', chunkBytes: 1, chunks: 16_385, isOversized: true },
];

SIZE_ROWS.forEach(({ title, chunkBytes, chunks, isOversized }) => {
  test(`an event without an end is told from a sound one: ${title}`, (t) => {
    const stream = new EventStream();
    const chunk = Buffer.alloc(chunkBytes, 'x');
    for (let at = 0; at < chunks; at += 1) stream.push(chunk);
    t.is(stream.isOversized, isOversized);
  });
});

test('chunks are counted anew for each event', (t) => {
  const stream = new EventStream();
  for (let at = 0; at < 100_000; at += 1) stream.push(Buffer.from(at % 10 === 9 ? '\n\n' : 'x'));
  t.false(stream.isOversized);
});
