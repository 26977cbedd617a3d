import { once } from 'node:events';
import { createServer } from 'node:http';
import { createConnection } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import type { AddressInfo } from 'node:net';
import { CallerConnection } from '../../ingress/index.js';
import { HttpReply } from '../httpreply.js';

/** Size of an answer, in bytes: more than the operating system buffers for a connection. */
const ANSWER_BYTES = 33_554_432;

/** Time for which the caller does not read, in milliseconds. */
const PAUSE_MS = 200;

const ROWS = [
  { title: 'reads the rest', then: 'reads' },
  { title: 'disconnects', then: 'disconnects' },
] as const;

ROWS.forEach(({ title, then }) => {
  test(`an answer is not finished while it waits for a slow caller, until that ${title}`, async (t) => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const caller = createConnection({ host: '127.0.0.1', port });
    t.teardown(() => {
      caller.destroy();
      server.close();
    });
    caller.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
    const [req, res] = await once(server, 'request');
    const reply = new HttpReply(res, new CallerConnection(req.socket, 0), () => false);
    reply.begin({
      status: 200,
      id: undefined,
      isNotRun: false,
      isLeaving: false,
      pauseMs: undefined,
      limitPerSecond: undefined,
      isEventStream: false,
      isFramed: true,
      load: undefined,
      forward: ['content-length', String(ANSWER_BYTES)],
    });
    reply.write(Buffer.alloc(ANSWER_BYTES));
    reply.end();
    let isFinished = false;
    const finished = reply.finished.then(() => {
      isFinished = true;
    });
    await delay(PAUSE_MS);
    t.false(isFinished);
    if (then === 'reads') caller.resume();
    else caller.destroy();
    await finished;
    t.true(isFinished);
  });
});
