import { createServer } from 'node:net';

import test from 'ava';

import type { Dispatcher } from 'undici';
import { listenOnFreePort } from '../../../testbed/listening.js';
import { UpstreamConnections } from '../connections.js';

import type { UpstreamConnection } from '../upstreamconnection.js';

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/** Sends a request; resolves at the end of its answer. */
function exchange({ client }: UpstreamConnection, body: Buffer): Promise<void> {
  return new Promise((resolve, reject) => {
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: () => undefined,
      onResponseStart: () => undefined,
      onResponseData: () => undefined,
      onResponseEnd: () => resolve(),
      onResponseError: (_controller, err) => reject(err),
    };
    client.dispatch({ method: 'POST', path: '/', body }, handler);
  });
}

const ROWS = [
  { title: 'the request was sent completely', bytes: 100, isKept: true },
  { title: 'a part of the request was not sent yet', bytes: 40_000_000, isKept: false },
];

ROWS.forEach(({ title, bytes, isKept }) => {
  test(`a connection is ${isKept ? '' : 'not '}used again: ${title}`, async (t) => {
    // Answers at once and reads no more.
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.pause();
        socket.write(ANSWER);
      });
      t.teardown(() => socket.destroy());
    });
    const connections = new UpstreamConnections(await listenOnFreePort(server));
    t.teardown(() => server.close());
    const connection = connections.take();
    await exchange(connection, Buffer.alloc(bytes));
    connections.release(connection);
    const next = connections.take();
    t.is(next === connection, isKept);
    next.destroy();
  });
});
