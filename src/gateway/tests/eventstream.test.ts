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
