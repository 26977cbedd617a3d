import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';

import test from 'ava';

import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ExecutionContext } from 'ava';
import { StreamSink } from '../streamsink.js';

const DRAIN_TIMEOUT_MS = 200;
const CHUNK = Buffer.alloc(1_048_576, 'a');
const CHUNK_COUNT = 40;

interface ConnectedCaller {
  readonly res: ServerResponse;
  /** Starts reading the response. */
  readonly read: () => void;
}

async function connectCaller(t: ExecutionContext): Promise<ConnectedCaller> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  const [, res] = (await once(server, 'request')) as [unknown, ServerResponse];
  t.teardown(() => {
    socket.destroy();
    server.close();
  });
  return { res, read: () => socket.resume() };
}

async function writeAll(sink: StreamSink): Promise<void> {
  for (let chunk = 0; chunk < CHUNK_COUNT; chunk += 1) {
    // Writes are sequential, since each waits for the connection to drain.
    // eslint-disable-next-line no-await-in-loop
    await sink.write(CHUNK);
  }
}

test('the connection of a caller that stops reading is closed', async (t) => {
  const { res } = await connectCaller(t);
  await writeAll(new StreamSink(res, 'k', DRAIN_TIMEOUT_MS));
  t.true(res.destroyed);
});

test('a caller that reads stays connected, and waiting for the drain leaves no listeners behind', async (t) => {
  const { res, read } = await connectCaller(t);
  const before = res.listenerCount('close');
  read();
  await writeAll(new StreamSink(res, 'k', DRAIN_TIMEOUT_MS));
  t.false(res.destroyed);
  t.is(res.listenerCount('close'), before);
});
