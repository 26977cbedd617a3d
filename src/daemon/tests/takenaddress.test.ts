import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { Fleet } from '../../../testbed/fleet.js';
import { waitFor } from '../../../testbed/wait.js';

/** Time for which the daemon waits before its address is free, in milliseconds. */
const TAKEN_MS = 1_000;

const LISTENERS = ['port', 'peerPort'] as const;

interface Row {
  readonly isLeft: boolean;
  readonly title: string;
}

const ROWS: readonly Row[] = [
  { isLeft: true, title: 'starts once another process has left' },
  { isLeft: false, title: 'ends with an error that names' },
];

LISTENERS.forEach((listener) => {
  ROWS.forEach(({ isLeft, title }) => {
    test(`a daemon of the chat interface ${title} its ${listener}`, async (t) => {
      const fleet = await Fleet.start({ daemons: 1, units: 1_000 });
      t.teardown(() => fleet.stop());
      const { child, options, port, peerPort } = fleet.daemon(0);
      child.signal('SIGTERM');
      await child.ended();
      const taken = listener === 'port' ? port : peerPort;
      const other = createServer((socket) => socket.destroy()).listen(taken, '127.0.0.1');
      await once(other, 'listening');
      t.teardown(() => other.close());
      const { name, dataCentre } = options;
      const logHas = async (seen: string): Promise<boolean> =>
        (await readFile(join(fleet.dir, `${name}.log`), 'utf8')).includes(
          `: 127.0.0.1:${taken} ${seen}`,
        );
      const next = await fleet.addDaemon(name, dataCentre, { port, peerPort });
      if (isLeft) {
        await waitFor('the daemon waits', () => logHas('is in use, waiting'));
        await delay(TAKEN_MS);
        t.true(next.child.running, 'the process has ended');
        other.close();
        await next.waitReady();
      } else t.is(await next.child.ended(), 4);
      t.true(await logHas(isLeft ? 'is in use, waiting' : 'is still in use'));
    });
  });
});
