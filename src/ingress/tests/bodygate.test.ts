import { EventEmitter } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import type { ExecutionContext } from 'ava';

import { MEGABYTE_BYTES, SteadyClock } from '../../kernel/index.js';
import { BodyGate } from '../bodygate.js';
import { CallerConnection } from '../callerconnection.js';

import type { BodyRoom } from '../bodyroom.js';

const LARGE_BYTES = 4 * MEGABYTE_BYTES;

class Socket extends EventEmitter {
  readonly bytesRead = 0;

  destroy(): void {
    this.emit('close');
  }
}

interface Setup {
  readonly gate: BodyGate;
  readonly open: (socket?: Socket) => BodyRoom;
}

/** Opens a gate with 80 MB free, in which six large bodies fit. */
function setup(t: ExecutionContext): Setup {
  const gate = new BodyGate(200 * MEGABYTE_BYTES, new SteadyClock());
  gate.sample(100 * MEGABYTE_BYTES, 0);
  const rooms: BodyRoom[] = [];
  t.teardown(() => rooms.forEach((room) => room.release()));
  const open = (socket = new Socket()): BodyRoom => {
    const room = gate.open(new CallerConnection(socket, 0), LARGE_BYTES);
    rooms.push(room);
    return room;
  };
  return { gate, open };
}

async function fill({ open }: Setup): Promise<readonly BodyRoom[]> {
  const rooms = Array.from({ length: 6 }, () => open());
  await Promise.all(rooms.map((room) => room.take(LARGE_BYTES)));
  return rooms;
}

test('a body waits until another one is released', async (t) => {
  const gate = setup(t);
  const [first] = await fill(gate);
  const taken = gate.open().take(LARGE_BYTES);
  await delay(100);
  first?.release();
  t.true(await taken);
});

test('a body that finds no room is refused after a brief wait', async (t) => {
  const gate = setup(t);
  const rooms = await fill(gate);
  rooms.forEach((room) => room.wasRead());
  const before = performance.now();
  t.false(await gate.open().take(LARGE_BYTES));
  const tookMs = performance.now() - before;
  t.true(tookMs > 350 && tookMs < 1_000, `${tookMs} ms`);
});

test('a caller that leaves gives up its place', async (t) => {
  const gate = setup(t);
  await fill(gate);
  const socket = new Socket();
  const taken = gate.open(socket).take(LARGE_BYTES);
  socket.destroy();
  t.false(await taken);
  t.is(gate.gate.facts.waiting, 0);
});

test('a stop ends all waits', async (t) => {
  const gate = setup(t);
  await fill(gate);
  const taken = gate.open().take(LARGE_BYTES);
  gate.gate.stop();
  t.false(await taken);
});

test('a body that arrives slowly gives up its room only to one that waits', async (t) => {
  const gate = setup(t);
  const [first] = await fill(gate);
  let isRevoked = false;
  if (first) {
    first.onRevoke = () => {
      isRevoked = true;
    };
  }
  const refused = await gate.open().take(LARGE_BYTES);
  await delay(1_200);
  t.deepEqual([refused, isRevoked], [false, false]);
  t.true(await gate.open().take(LARGE_BYTES));
  t.true(isRevoked);
  t.false(await first?.take(LARGE_BYTES));
});

test('a body of unknown length takes a small room first, then twice as much each time', async (t) => {
  const { gate, open } = setup(t);
  const room = open();
  const sizes: readonly (readonly [number, number])[] = [
    [1, 65_536],
    [65_536, 65_536],
    [65_537, 131_072],
    [131_072, 131_072],
    [131_073, 262_144],
    [1_000_000, 1_048_576],
    [2_200_000, LARGE_BYTES],
    [LARGE_BYTES, LARGE_BYTES],
  ];
  for (const [bytes, held] of sizes) {
    // eslint-disable-next-line no-await-in-loop
    t.true(await room.grow(bytes));
    t.is(gate.facts.heldBytes, held);
  }
  room.received(100);
  room.release();
  t.like(gate.facts, { heldBytes: 0, receivedBytes: 0 });
});

test('a body that grows takes the room of younger ones that are not complete', async (t) => {
  const gate = setup(t);
  const rooms = Array.from({ length: 8 }, () => gate.open());
  await Promise.all(rooms.map((room) => room.grow(2_097_152)));
  const revoked: number[] = [];
  rooms.forEach((room, index) => Object.assign(room, { onRevoke: () => revoked.push(index) }));
  // Six of 4 MB have room.
  const grown: boolean[] = [];
  for (const room of rooms.slice(0, 7)) {
    // eslint-disable-next-line no-await-in-loop
    grown.push(await room.grow(LARGE_BYTES));
  }
  t.deepEqual(grown, [true, true, true, true, true, true, false]);
  t.deepEqual(revoked, [7, 6]);
  t.is(gate.gate.facts.heldBytes, 6 * LARGE_BYTES);
});

test('a body that grows leaves the room of complete and of older ones', async (t) => {
  const gate = setup(t);
  const rooms = await fill(gate);
  const growing = gate.open();
  t.true(await growing.grow(1));
  rooms.forEach((room) => Object.assign(room, { onRevoke: () => t.fail() }));
  t.false(await growing.grow(LARGE_BYTES));
  t.is(gate.gate.facts.heldBytes, 6 * LARGE_BYTES + 65_536);
});

test('a room that is released while it waits to grow is taken back once', async (t) => {
  const gate = setup(t);
  const rooms = await fill(gate);
  const growing = gate.open();
  await growing.grow(1);
  const grown = growing.grow(LARGE_BYTES);
  growing.release();
  t.false(await grown);
  rooms.forEach((room) => room.release());
  t.like(gate.gate.facts, { heldBytes: 0, waiting: 0 });
});
