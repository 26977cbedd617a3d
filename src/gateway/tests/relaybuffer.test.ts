import test from 'ava';

import { MemoryReply } from '../../../testbed/memoryreply.js';
import { RelayBuffer } from '../relaybuffer.js';

/** Reply that keeps what each call has written. */
class WritesReply extends MemoryReply {
  readonly writes: string[] = [];

  override write(bytes: Buffer): boolean {
    this.writes.push(bytes.toString());
    return bytes.length < 60_000;
  }
}

interface Row {
  readonly title: string;
  readonly chunks: readonly string[];
  /** Lengths of the writes to the caller. */
  readonly writes: readonly number[];
  /** How often the upstream is held up. */
  readonly pauses: number;
}

const ROWS: readonly Row[] = [
  { title: 'one chunk', chunks: ['a'], writes: [1], pauses: 0 },
  { title: 'many small chunks', chunks: Array(1_000).fill('x'), writes: [1_000], pauses: 0 },
  {
    title: 'more than a slow caller takes',
    chunks: Array(10).fill('x'.repeat(16_384)),
    writes: [65_536, 65_536, 32_768],
    pauses: 2,
  },
];

ROWS.forEach(({ title, chunks, writes, pauses }) => {
  test(`chunks that arrive together are written at once: ${title}`, async (t) => {
    const reply = new WritesReply();
    let paused = 0;
    const buffer = new RelayBuffer(reply, () => {
      paused += 1;
    });
    chunks.forEach((chunk) => buffer.push(Buffer.from(chunk)));
    await new Promise(setImmediate);
    t.deepEqual(
      reply.writes.map(({ length }) => length),
      writes,
    );
    t.is(reply.writes.join(''), chunks.join(''));
    t.is(paused, pauses);
  });
});

test('a flush writes what has arrived, once', async (t) => {
  const reply = new WritesReply();
  const buffer = new RelayBuffer(reply, () => undefined);
  buffer.push(Buffer.from('a'));
  buffer.flush();
  await new Promise(setImmediate);
  t.deepEqual(reply.writes, ['a']);
});

test('nothing is written to a caller that has left', async (t) => {
  const reply = new WritesReply();
  const buffer = new RelayBuffer(reply, () => undefined);
  buffer.push(Buffer.from('a'));
  reply.isDisconnected = true;
  await new Promise(setImmediate);
  t.deepEqual(reply.writes, []);
});
