import test from 'ava';

import { BodyParts } from '../bodyparts.js';

interface Row {
  readonly title: string;
  readonly lengthBytes: number | undefined;
  readonly parts: readonly string[];
}

const ROWS: readonly Row[] = [
  { title: 'one part of unknown length', lengthBytes: undefined, parts: ['abc'] },
  { title: 'two parts of unknown length', lengthBytes: undefined, parts: ['abc', 'def'] },
  { title: 'one part of stated length', lengthBytes: 3, parts: ['abc'] },
  { title: 'parts of stated length', lengthBytes: 7, parts: ['abc', 'd', 'efg'] },
  {
    title: 'parts of one byte',
    lengthBytes: undefined,
    parts: Array.from({ length: 20_000 }, (_, index) => String(index % 10)),
  },
  {
    title: 'parts that double a buffer several times',
    lengthBytes: undefined,
    parts: ['a'.repeat(4_096), 'b', 'c'.repeat(4_095), 'd'.repeat(100_000), 'e'],
  },
];

ROWS.forEach(({ title, lengthBytes, parts }) => {
  test(`a body is kept as it was sent: ${title}`, (t) => {
    const body = new BodyParts({ lengthBytes, limitBytes: 4_194_304 });
    parts.forEach((part) => body.add(Buffer.from(part)));
    t.is(body.bytes?.toString(), parts.join(''));
  });
});

const SEGMENT_BYTES = 1_000;

ROWS.forEach(({ title, lengthBytes, parts }) => {
  test(`a body is kept as it was sent, in segments: ${title}`, (t) => {
    const taken: Buffer[] = [];
    const takeSegment = (): Buffer => {
      taken.push(Buffer.alloc(SEGMENT_BYTES, '?'));
      return taken.at(-1) as Buffer;
    };
    const segments = { segmentBytes: SEGMENT_BYTES, takeSegment };
    const body = new BodyParts({ lengthBytes, segments });
    parts.forEach((part) => body.add(Buffer.from(part)));
    const text = parts.join('');
    t.is(Buffer.concat(body.buffers).toString(), text);
    t.is(taken.length, text.length > SEGMENT_BYTES ? Math.ceil(text.length / SEGMENT_BYTES) : 0);
  });
});

test('many small parts are kept in one buffer of at most twice their size', (t) => {
  const body = new BodyParts({ lengthBytes: undefined, limitBytes: 4_194_304 });
  for (let index = 0; index < 100_000; index += 1) body.add(Buffer.from('b'));
  t.true((body.bytes?.buffer.byteLength ?? 0) <= 200_000);
});

test('a body of the largest size takes a buffer of that size', (t) => {
  const body = new BodyParts({ lengthBytes: undefined, limitBytes: 4_000_000 });
  for (let index = 0; index < 40; index += 1) body.add(Buffer.alloc(100_000));
  t.is(body.bytes?.buffer.byteLength, 4_000_000);
});
