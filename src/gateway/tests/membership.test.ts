import test from 'ava';
import { pino } from 'pino';

import type { ExecutionContext } from 'ava';
import { FaultyStore } from '../../../testbed/faultystore.js';
import { freePort } from '../../../testbed/ports.js';
import { waitFor } from '../../../testbed/wait.js';
import { newIncarnation, SteadyClock, SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { Membership } from '../membership.js';

const HOST = '127.0.0.1';

/** Time limit for daemons to reach each other, in milliseconds. */
const REACH_TIMEOUT_MS = 1_000;

/** Timeout of one request to a peer, in milliseconds. */
const REQUEST_TIMEOUT_MS = 200;

const QUERY = { type: 'promptSent', upstream: 'u', tokens: 1 } as const;

async function join(t: ExecutionContext, store: FaultyStore, name: string): Promise<Membership> {
  const self = newIncarnation(name);
  const sinks = { logger: pino({ level: 'silent' }), metrics: undefined };
  const membership = await Membership.join({
    self,
    dataCentre: 'x',
    host: HOST,
    cores: 1,
    port: await freePort(),
    store,
    recorder: new Recorder(self, new SystemClock(), sinks),
    clock: new SteadyClock(),
  });
  membership.network.handle('promptSent', (message) => message);
  membership.start();
  t.teardown(() => membership.stop());
  return membership;
}

async function reaches({ network }: Membership, to: string): Promise<boolean> {
  const request = { to, body: QUERY, reply: 'promptSent', timeoutMs: REQUEST_TIMEOUT_MS } as const;
  return (await network.request(request)).ok;
}

test('daemons that start together reach each other within a second', async (t) => {
  const store = new FaultyStore(() => 'answered');
  const names = ['a', 'b', 'c', 'd'];
  const fleet = await Promise.all(names.map((name) => join(t, store, name)));
  await t.notThrowsAsync(
    waitFor(
      'each daemon reaches the first one',
      async () => {
        const answers = await Promise.all(fleet.slice(1).map((daemon) => reaches(daemon, 'a')));
        return answers.every((isAnswered) => isAnswered);
      },
      REACH_TIMEOUT_MS,
    ),
  );
});

test('a daemon that joins a running fleet reaches it within a second, while the others pause their watches', async (t) => {
  const store = new FaultyStore(() => 'answered');
  const first = await join(t, store, 'a');
  await first.listed;
  await join(t, store, 'b');
  await waitFor('the first daemon has listed the second', () => first.daemons.length === 2);
  const late = await join(t, store, 'c');
  await t.notThrowsAsync(
    waitFor('the new one reaches a', () => reaches(late, 'a'), REACH_TIMEOUT_MS),
  );
});
