import { once } from 'node:events';
import { createServer } from 'node:http';
import { createConnection } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import type { AddressInfo } from 'node:net';
import { isOrderlyEnd } from '../../../testbed/relay.js';
import { CallerConnection } from '../../ingress/index.js';
import { HttpReply } from '../httpreply.js';

interface Row {
  readonly title: string;
  /** Whether the answer of the upstream had a length or chunks. */
  readonly isFramed: boolean;
  /** Bytes that are written before the answer is aborted. */
  readonly bytes: number;
}

const ROWS: readonly Row[] = [
  { title: 'an answer that came in chunks', isFramed: true, bytes: 4 },
  { title: 'an answer that came without a length', isFramed: false, bytes: 4 },
  { title: 'an answer that the caller has yet to read', isFramed: false, bytes: 33_554_432 },
];

/** Time for which the caller does not read, in milliseconds. */
const PAUSE_MS = 200;

ROWS.forEach(({ title, isFramed, bytes }) => {
  test(`an aborted answer does not look complete to a caller with HTTP/1.0: ${title}`, async (t) => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const caller = createConnection({ host: '127.0.0.1', port });
    t.teardown(() => {
      caller.destroy();
      server.close();
    });
    caller.write('GET / HTTP/1.0\r\n\r\n');
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
      isFramed,
      load: undefined,
      forward: [],
    });
    const end = new Promise<string>((resolve) => {
      caller.once('end', () => resolve(isOrderlyEnd(caller) ? 'complete' : 'broken off'));
      caller.once('error', () => resolve('broken off'));
    });
    reply.write(Buffer.alloc(bytes));
    await delay(PAUSE_MS);
    reply.abortAnswer();
    await delay(PAUSE_MS);
    caller.resume();
    t.is(await end, 'broken off');
  });
});
