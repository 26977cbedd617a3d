/** Connections under an event loop whose every iteration takes longer than a poll counts. */
import { EventEmitter } from 'node:events';

import test from 'ava';

import type { Socket } from 'node:net';
import { block } from '../../../testbed/stall.js';
import { CallerConnections } from '../index.js';

/** Duration of each iteration, in milliseconds. */
const TURN_MS = 25;

class FakeSocket extends EventEmitter {
  readonly bytesRead = 100;

  isDestroyed = false;

  destroy(): void {
    this.isDestroyed = true;
  }
}

test.serial(
  'idle connections are closed although each iteration of the event loop is long',
  async (t) => {
    const callers = new CallerConnections({ now: () => performance.now() });
    const socket = new FakeSocket();
    const connection = callers.of(socket as unknown as Socket);
    connection.arrived(performance.now());
    connection.answered(performance.now());
    let isOver = false;
    const occupy = (): void => {
      block(TURN_MS);
      if (!isOver) setImmediate(occupy);
    };
    occupy();
    const endsAt = performance.now() + 2_000;
    while (!socket.isDestroyed && performance.now() < endsAt) {
      // eslint-disable-next-line no-await-in-loop
      await callers.closeIdle(200);
    }
    isOver = true;
    t.true(socket.isDestroyed);
  },
);
