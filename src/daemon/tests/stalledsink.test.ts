import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';

import test from 'ava';

import type { ServerResponse } from 'node:http';
import { listenOnFreePort } from '../../../testbed/listening.js';
import { stall } from '../../../testbed/stall.js';
import { StreamSink } from '../streamsink.js';

const DRAIN_TIMEOUT_MS = 300;

/** Time after which the caller reads on, in milliseconds: within the limit and the stall. */
const READ_AFTER_MS = 150;

/** Time of the stall, in milliseconds: beyond the limit. */
const STALL_MS = 500;

const CHUNK = Buffer.alloc(65_536, 'a');

/** Caller that reads nothing until it is told to, and then after a delay. */
const CALLER = `
  const { connect } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const socket = connect(workerData.port, '127.0.0.1');
  socket.write('GET / HTTP/1.1\\r\\nhost: x\\r\\n\\r\\n');
  socket.pause();
  parentPort.on('message', (delayMs) => setTimeout(() => socket.resume(), delayMs));
`;

test('a caller that has read on during a stall stays connected', async (t) => {
  const server = createServer();
  const address = await listenOnFreePort(server);
  const thread = new Worker(CALLER, {
    eval: true,
    workerData: { port: Number(address.split(':')[1]) },
  });
  t.teardown(async () => {
    await thread.terminate();
    server.close();
  });
  const [, res] = (await once(server, 'request')) as [unknown, ServerResponse];
  const sink = new StreamSink(res, 'k', DRAIN_TIMEOUT_MS);
  let isWritten = false;
  const write = (): Promise<void> => {
    isWritten = false;
    return sink.write(CHUNK).then(() => {
      isWritten = true;
    });
  };
  let writing: Promise<void>;
  do {
    writing = write();
    // A write that the system takes at once ends within a few turns.
    // eslint-disable-next-line no-await-in-loop
    await delay(5);
  } while (isWritten);
  thread.postMessage(READ_AFTER_MS);
  await stall(STALL_MS);
  await writing;
  t.false(res.destroyed);
});
