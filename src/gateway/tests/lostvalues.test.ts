import test from 'ava';
import { pino } from 'pino';

import type { ExecutionContext } from 'ava';
import { FaultyStore } from '../../../testbed/faultystore.js';
import { freePort } from '../../../testbed/ports.js';
import { waitFor } from '../../../testbed/wait.js';
import { newIncarnation, SteadyClock, SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { Membership } from '../membership.js';
import { joinShardCount } from '../shardcount.js';

const HOST = '127.0.0.1';
const KEY = 'fleet/key';
const COUNT = 'fleet/allowance-shards';

/** Timeout of one request to a peer, in milliseconds. */
const REQUEST_TIMEOUT_MS = 200;

const QUERY = { type: 'promptSent', upstream: 'u', tokens: 1 } as const;

function recorderOf(name: string): Recorder {
  const self = newIncarnation(name);
  return new Recorder(self, new SystemClock(), {
    logger: pino({ level: 'silent' }),
    metrics: undefined,
  });
}

async function join(t: ExecutionContext, store: FaultyStore, name: string): Promise<Membership> {
  const recorder = recorderOf(name);
  const membership = await Membership.join({
    self: recorder.source,
    dataCentre: 'x',
    host: HOST,
    cores: 1,
    port: await freePort(),
    store,
    recorder,
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

test('daemons write again what the copy lacks: their entries and the secret of their links', async (t) => {
  const store = new FaultyStore(() => 'answered');
  const empty = store.copy();
  const [a, b] = await Promise.all([join(t, store, 'a'), join(t, store, 'b')]);
  await waitFor('a reaches b', () => reaches(a, 'b'));
  const secret = store.peek(KEY);
  const entry = store.peek('daemons/a');
  store.comeBack(empty);
  t.is(store.peek(KEY), null);
  await waitFor('all is written again', () =>
    [KEY, 'daemons/a', 'daemons/b'].every((key) => store.peek(key) !== null),
  );
  t.is(store.peek(KEY), secret);
  t.deepEqual(store.peek('daemons/a'), entry);
  t.true(await reaches(b, 'a'));
});

test('a daemon that starts where the copy lacks the secret comes to the one that the others use', async (t) => {
  const store = new FaultyStore(() => 'answered');
  const empty = store.copy();
  const a = await join(t, store, 'a');
  await waitFor('a is registered', () => store.peek('daemons/a') !== null);
  const secret = store.peek(KEY);
  store.comeBack(empty);
  // It has created a secret of its own before the other daemon writes the lost one again.
  await store.write(KEY, `${'f'.repeat(48)}.2`, 0);
  const late = await join(t, store, 'late');
  await waitFor('the late one reaches a', () => reaches(late, 'a'));
  await waitFor('a reaches the late one', () => reaches(a, 'late'));
  t.is(store.peek(KEY), secret);
});

test('two drills in a row, and a daemon that starts between them, leave one secret', async (t) => {
  const store = new FaultyStore(() => 'answered');
  const empty = store.copy();
  const a = await join(t, store, 'a');
  const secret = store.peek(KEY);
  store.comeBack(empty);
  const late = await join(t, store, 'late');
  store.comeBack(empty);
  await waitFor('the late one reaches a', () => reaches(late, 'a'));
  await waitFor('a reaches the late one', () => reaches(a, 'late'));
  t.is(store.peek(KEY), secret);
});

test('the number of shards that a fleet has used wins over one that was stored after the copy', async (t) => {
  const store = new FaultyStore(() => 'answered');
  const empty = store.copy();
  const first = await joinShardCount(store, 4, recorderOf('a'));
  t.teardown(() => first.stop());
  store.comeBack(empty);
  const late = await joinShardCount(store, 9, recorderOf('late'));
  t.teardown(() => late.stop());
  t.true(late.isCreated);
  await waitFor('the lost number is written again', () => store.peek(COUNT) === 4);
  await late.compare();
  t.is(late.current, 4);
  t.is(first.current, 4);
});
