import { once } from 'node:events';
import { createServer } from 'node:http';
import { createConnection } from 'node:net';
import { setImmediate as nextCheck, setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ReturningCallers } from '../../../testbed/returningcallers.js';
import { block } from '../../../testbed/stall.js';
import { SteadyClock } from '../../kernel/index.js';
import { closeListener } from '../listenerclose.js';

const HOST = '127.0.0.1';

/** Time for which the process stalls, in which all callers connect and send, in milliseconds. */
const STALL_MS = 300;

const CALLERS = 50;

/** Longest time for which a listener waits until it closes, in milliseconds. */
const CLOSE_MS = 3_000;

async function startServer(): Promise<Server> {
  const server = createServer((_req, res) => res.setHeader('connection', 'close').end('ok'));
  server.listen(0, HOST);
  await once(server, 'listening');
  return server;
}

const ROWS = [
  { title: 'short', turnMs: 0 },
  { title: 'long', turnMs: 5 },
] as const;

ROWS.forEach(({ title, turnMs }) => {
  test.serial(
    `a listener closes when it has accepted all that wait, in ${title} iterations`,
    async (t) => {
      const clock = new SteadyClock();
      const server = await startServer();
      const { port } = server.address() as AddressInfo;
      const request = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
      const callers = await ReturningCallers.start({ host: HOST, port, callers: CALLERS, request });
      t.teardown(() => callers.stop());
      block(STALL_MS);
      let isOver = false;
      const occupy = async (): Promise<void> => {
        while (!isOver) {
          block(turnMs);
          // eslint-disable-next-line no-await-in-loop
          await nextCheck();
        }
      };
      const occupied = occupy();
      const { accepted, isEmpty } = await closeListener(server, clock, clock.now() + CLOSE_MS);
      t.false(server.listening);
      const exchanges = await callers.exchanges;
      isOver = true;
      await occupied;
      t.true(isEmpty);
      t.true(accepted >= CALLERS - 1, `${accepted} accepted`);
      t.deepEqual(
        exchanges.filter(({ isAnswered }) => !isAnswered),
        [],
      );
    },
  );
});

test.serial(
  'a listener at which nothing waits closes at once and leaves its connections open',
  async (t) => {
    const clock = new SteadyClock();
    const server = await startServer();
    const { port } = server.address() as AddressInfo;
    const socket = createConnection(port, HOST);
    t.teardown(() => socket.destroy());
    await once(socket, 'connect');
    await delay(STALL_MS);
    const closing = await closeListener(server, clock, clock.now());
    t.deepEqual(closing, { accepted: 0, isEmpty: true });
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    const [answer] = (await once(socket, 'data')) as [Buffer];
    t.regex(answer.toString(), /^HTTP\/1.1 200 /);
  },
);

test.serial('a caller that leaves while its connection waits does no harm', async (t) => {
  const clock = new SteadyClock();
  const server = await startServer();
  const { port } = server.address() as AddressInfo;
  const socket = createConnection(port, HOST);
  await once(socket, 'connect');
  socket.resetAndDestroy();
  const { isEmpty } = await closeListener(server, clock, clock.now() + CLOSE_MS);
  t.true(isEmpty);
});
