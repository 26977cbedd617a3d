import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';

import test from 'ava';

import { FaultyStore } from '../../../testbed/faultystore.js';
import { listenOnFreePort } from '../../../testbed/listening.js';
import { freePort } from '../../../testbed/ports.js';
import { block, stall } from '../../../testbed/stall.js';
import { ThreadedUpstream } from '../../../testbed/threadedupstream.js';
import { waitFor } from '../../../testbed/wait.js';
import { makeRecorder } from '../../daemon/daemonrecorder.js';
import { UpstreamStats } from '../../route/index.js';
import { UpstreamConnections } from '../connections.js';
import { CrashWatch } from '../crashwatch.js';
import { GatewayMetrics } from '../metrics.js';
import { isListening } from '../probe.js';

import type { KnownUpstream } from '../upstreampool.js';

/** Stall that is longer than the limit of a probe and the delay before it, in milliseconds. */
const STALL_MS = 400;

/** Time after which the last connection to a crashed upstream ends, in milliseconds: within the delay before a probe. */
const END_AFTER_MS = 20;

/** Time within which a crash is confirmed, in milliseconds. */
const CONFIRMED_MS = 3_000;

test.serial('an upstream that accepts a probe during a stall listens', async (t) => {
  const server = createServer((socket) => socket.destroy());
  const address = await listenOnFreePort(server);
  t.teardown(() => server.close());
  await nextTurn();
  const probe = isListening(address);
  block(STALL_MS);
  t.true(await probe);
});

test.serial('an upstream that refuses a probe does not listen', async (t) => {
  const port = await freePort();
  await nextTurn();
  const probe = isListening(`127.0.0.1:${port}`);
  block(STALL_MS);
  t.false(await probe);
});

test.serial('a crash is noticed although the last connection ends during a stall', async (t) => {
  const upstream = await ThreadedUpstream.start({
    answers: [{ text: '', then: 'reset', afterMs: END_AFTER_MS, holdMs: 0 }],
    idHeader: 'none',
  });
  t.teardown(() => upstream.stop());
  const [host, port] = upstream.address.split(':');
  const socket = connect({ host: host ?? '', port: Number(port) });
  await once(socket, 'connect');
  const gone = `127.0.0.1:${await freePort()}`;
  const connections = new UpstreamConnections(gone);
  connections.open = 1;
  socket.on('error', () => undefined);
  socket.on('close', () => {
    connections.open = 0;
  });
  const record = { id: 'u', startedAt: 1, address: gone, service: 's', dataCentre: 'a' };
  const known: KnownUpstream = {
    record: { ...record, capacity: 1, isLeaving: false, warmupMs: 0 },
    seed: 0,
    stats: new UpstreamStats(),
    connections,
  };
  const recorder = makeRecorder({ instance: 'e1', dataCentre: 'a', logLevel: 'silent' });
  const watch = new CrashWatch({
    store: new FaultyStore(() => 'answered'),
    recorder,
    metrics: new GatewayMetrics(),
    clock: performance,
    random: () => 0.5,
  });
  t.teardown(() => watch.stop());
  socket.write('x');
  watch.noteLost(known, ['x'], 0);
  await stall(STALL_MS);
  const isConfirmed = (): boolean =>
    recorder.timeline.list().some(({ name }) => name === 'upstreamCrashed');
  await waitFor('the crash is confirmed', isConfirmed, CONFIRMED_MS);
  t.is(connections.open, 0);
});
