import { once } from 'node:events';
import { createServer } from 'node:net';
import { Worker } from 'node:worker_threads';

import test from 'ava';

import { freePort } from '../ports.js';

/** Number of ports that are taken, each right after it was found free. */
const PORTS = 4_000;

function listen(port: number): Promise<string> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', (err) => resolve(String(err)));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve('listened')));
  });
}

test.serial(
  'a port that was found free is free while other threads of the process start processes',
  async (t) => {
    const spawning = new Worker(new URL('../spawningthread.js', import.meta.url));
    t.teardown(() => spawning.terminate());
    await once(spawning, 'online');
    const failures: string[] = [];
    for (let taken = 0; taken < PORTS; taken += 1) {
      // eslint-disable-next-line no-await-in-loop
      const seen = await listen(await freePort());
      if (seen !== 'listened') failures.push(seen);
    }
    t.deepEqual(failures, []);
  },
);

test.serial('a port on which a process listens is not free, whatever its address', async (t) => {
  const first = await freePort();
  const servers = ['127.0.0.1', '0.0.0.0'].map((host, index) =>
    createServer().listen(first + 1 + index, host),
  );
  t.teardown(() => servers.forEach((server) => server.close()));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  t.is(await freePort(), first + 1 + servers.length);
});
