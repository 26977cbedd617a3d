import { once } from 'node:events';
import { createServer } from 'node:net';
import { Worker } from 'node:worker_threads';

import test from 'ava';

import { listenOnFreePort } from '../../../testbed/listening.js';
import { block, stall } from '../../../testbed/stall.js';
import { PolledTimer, timeLimitSignal, waitAtMost } from '../polledtimer.js';

/** Time of the timers, in milliseconds. */
const DELAY_MS = 50;

/** Time of the stall, in milliseconds. */
const STALL_MS = 150;

/** Connects from another thread, and sends a byte while this one is stalled. */
const SENDER = `
  const { connect } = require('node:net');
  const { workerData } = require('node:worker_threads');
  const socket = connect(workerData.port, '127.0.0.1', () => {
    socket.write('a');
    setTimeout(() => socket.write('b'), workerData.delayMs);
  });
`;

interface Limit {
  readonly title: string;
  /** Starts the limit of an arrival; resolves with whether it has arrived. */
  readonly start: (arrival: Promise<unknown>) => Promise<boolean>;
}

const LIMITS: readonly Limit[] = [
  {
    title: 'a timer',
    start: (arrival) =>
      new Promise((resolve) => {
        const timer = new PolledTimer(DELAY_MS, () => resolve(false));
        void arrival.then(() => {
          timer.clear();
          resolve(true);
        });
      }),
  },
  {
    title: 'a wait',
    start: async (arrival) => (await waitAtMost(arrival, DELAY_MS)) !== undefined,
  },
  {
    title: 'a signal',
    start: (arrival) =>
      new Promise((resolve) => {
        const signal = timeLimitSignal(DELAY_MS);
        signal.addEventListener('abort', () => resolve(false));
        void arrival.then(() => resolve(true));
      }),
  },
];

const ARRIVALS = [
  { title: 'data that arrived during a stall', sendAfterMs: 75, isInTime: true },
  { title: 'data that has not arrived', sendAfterMs: 2_000, isInTime: false },
];

LIMITS.forEach(({ title, start }) => {
  ARRIVALS.forEach(({ title: what, sendAfterMs, isInTime }) => {
    test.serial(`${title} with a limit that was due in a stall: ${what}`, async (t) => {
      const server = createServer();
      const address = await listenOnFreePort(server);
      const thread = new Worker(SENDER, {
        eval: true,
        workerData: { port: Number(address.split(':')[1]), delayMs: sendAfterMs },
      });
      t.teardown(async () => {
        await thread.terminate();
        server.close();
      });
      const [socket] = await once(server, 'connection');
      await once(socket, 'data');
      const inTime = start(once(socket, 'data'));
      await stall(STALL_MS);
      t.is(await inTime, isInTime);
    });
  });
});

test('a timer that is cleared when it is due does not call back', async (t) => {
  await new Promise<void>((resolve) => {
    const timer = new PolledTimer(1, () => t.fail());
    setTimeout(() => {
      t.true(timer.isDue);
      timer.clear();
      resolve();
    }, 1);
    // Both are due when the event loop looks at its timers, also if the first was created a millisecond before.
    block(3);
  });
  await stall(1);
});
