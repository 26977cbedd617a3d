import { createServer } from 'node:http';
import { createConnection } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import type { Socket } from 'node:net';
import { listenOnFreePort } from '../../../testbed/listening.js';
import { SocketHold } from '../sockethold.js';

const SENT_BYTES = 4_000_000;

/** Most bytes that arrive once a connection is held: what one read brings. */
const MAX_LATE_BYTES = 65_536;

/** Time for which a connection is held, in milliseconds. */
const HELD_MS = 300;

[false, true].forEach((isResumed) => {
  const title = isResumed ? ', held after it was resumed' : '';
  test(`the server does not resume a held connection while it passes on a body${title}`, async (t) => {
    const state = { bytes: 0, lateBytes: Number.POSITIVE_INFINITY };
    const ended = new Promise<void>((resolve) => {
      const server = createServer((req) => {
        const hold = SocketHold.of(req.socket);
        t.is(SocketHold.of(req.socket), hold);
        req.once('data', () => {
          // A connection that flows says nothing when it is resumed again.
          if (isResumed) req.socket.resume();
          hold.hold();
          const heldAt = req.socket.bytesRead;
          void delay(HELD_MS).then(() => {
            state.lateBytes = req.socket.bytesRead - heldAt;
            hold.release();
          });
        });
        req.on('data', (part: Buffer) => {
          state.bytes += part.length;
        });
        req.on('end', resolve);
      });
      let caller: Socket | undefined;
      void listenOnFreePort(server).then((address) => {
        caller = createConnection(Number(address.split(':')[1]), '127.0.0.1');
        caller.write('POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n');
        caller.write(`${SENT_BYTES.toString(16)}\r\n${'b'.repeat(SENT_BYTES)}\r\n0\r\n\r\n`);
      });
      t.teardown(() => {
        caller?.destroy();
        server.close();
      });
    });
    await Promise.all([ended, delay(2 * HELD_MS)]);
    t.true(state.lateBytes <= MAX_LATE_BYTES, `${state.lateBytes} bytes were read`);
    t.is(state.bytes, SENT_BYTES);
  });
});
