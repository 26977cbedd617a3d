import { EventEmitter } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

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

test('a room that is released while it waits to grow takes nothing afterwards', async (t) => {
  const gate = new BodyGate(200 * MEGABYTE_BYTES, new SteadyClock());
  gate.sample(100 * MEGABYTE_BYTES, 0);
  const open = (): BodyRoom => gate.open(new CallerConnection(new Socket(), 0), LARGE_BYTES);
  const others = Array.from({ length: 7 }, open);
  await Promise.all(others.map((room) => room.take(LARGE_BYTES)));
  const room = open();
  await room.grow(1);
  const grown = room.grow(100_000);
  await delay(20);
  // The request ends, as its room was revoked or the daemon has stopped it.
  room.release();
  others.forEach((other) => other.release());
  await grown;
  t.is(gate.facts.heldBytes, 0);
});
