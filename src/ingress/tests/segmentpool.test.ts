import { EventEmitter } from 'node:events';

import test from 'ava';

import { MEGABYTE_BYTES, SteadyClock } from '../../kernel/index.js';
import { BodyGate } from '../bodygate.js';
import { CallerConnection } from '../callerconnection.js';
import { SEGMENT_BYTES, SegmentPool } from '../segmentpool.js';

import type { BodyRoom } from '../bodyroom.js';

const LARGE_BYTES = 4 * MEGABYTE_BYTES;
const SEGMENTS = Math.ceil(LARGE_BYTES / SEGMENT_BYTES);

class Socket extends EventEmitter {
  readonly bytesRead = 0;

  destroy(): void {
    this.emit('close');
  }
}

test('segments are distinct while they are taken, and used again after that', (t) => {
  const pool = new SegmentPool();
  const taken = Array.from({ length: 40 }, () => pool.take());
  taken.forEach((segment, index) => segment.fill(index));
  t.true(taken.every((segment, index) => segment.every((byte) => byte === index)));
  pool.giveBack(taken.splice(0));
  t.deepEqual([pool.takenBytes, pool.residentBytes], [0, 40 * SEGMENT_BYTES]);
  Array.from({ length: 40 }, () => pool.take());
  t.is(pool.residentBytes, 40 * SEGMENT_BYTES);
});

interface Row {
  readonly title: string;
  /** Ends a room whose body has arrived. */
  readonly end: (room: BodyRoom) => void;
}

const ROWS: readonly Row[] = [
  { title: 'released', end: (room) => room.release() },
  { title: 'revoked', end: (room) => room.revoke() },
  {
    title: 'released twice',
    end: (room) => {
      room.release();
      room.release();
    },
  },
];

ROWS.forEach(({ title, end }) => {
  test(`a crowd after a crowd takes no more memory than the first: ${title}`, async (t) => {
    const gate = new BodyGate(200 * MEGABYTE_BYTES, new SteadyClock());
    gate.sample(100 * MEGABYTE_BYTES, 0);
    const sizes: number[] = [];
    for (let crowd = 0; crowd < 3; crowd += 1) {
      const rooms = Array.from({ length: 6 }, () =>
        gate.open(new CallerConnection(new Socket(), 0), LARGE_BYTES),
      );
      // eslint-disable-next-line no-await-in-loop
      const taken = await Promise.all(rooms.map((room) => room.take(LARGE_BYTES)));
      t.deepEqual(taken, Array(6).fill(true));
      rooms.forEach((room) => {
        for (let index = 0; index < SEGMENTS; index += 1) room.takeSegment();
        room.received(LARGE_BYTES);
      });
      rooms.forEach(end);
      t.is(gate.segments.takenBytes, 0);
      sizes.push(gate.segments.residentBytes);
    }
    t.deepEqual(sizes, Array(3).fill(6 * SEGMENTS * SEGMENT_BYTES));
    t.like(gate.facts, { heldBytes: 0, receivedBytes: 0 });
  });
});

test('a process that has grown by segments has as much room as before', (t) => {
  const gate = new BodyGate(200 * MEGABYTE_BYTES, new SteadyClock());
  gate.sample(100 * MEGABYTE_BYTES, 0);
  const before = gate.freeBytes;
  const segments = Array.from({ length: SEGMENTS }, () => gate.segments.take());
  gate.sample(100 * MEGABYTE_BYTES + SEGMENTS * SEGMENT_BYTES, 0);
  t.is(gate.freeBytes, before);
  gate.segments.giveBack(segments);
  gate.sample(100 * MEGABYTE_BYTES + SEGMENTS * SEGMENT_BYTES, 0);
  t.is(gate.freeBytes, before);
});

test('a buffer that is taken for a room that was given up is not one of another body', (t) => {
  const gate = new BodyGate(200 * MEGABYTE_BYTES, new SteadyClock());
  const room = gate.open(new CallerConnection(new Socket(), 0), LARGE_BYTES);
  room.release();
  room.takeSegment();
  t.is(gate.segments.takenBytes, 0);
});
