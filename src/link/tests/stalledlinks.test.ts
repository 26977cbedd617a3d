import { setTimeout as delay } from 'node:timers/promises';

import { StatsD } from 'hot-shots';
import { pino } from 'pino';
import test from 'ava';

import type { ExecutionContext } from 'ava';
import { freePort } from '../../../testbed/ports.js';
import { stall } from '../../../testbed/stall.js';
import { ThreadedPeer } from '../../../testbed/threadedpeer.js';
import { SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { PeerLink } from '../peerlink.js';
import { PeerListener } from '../peerlistener.js';

import type { PeerPlan } from '../../../testbed/threadedpeer.js';

const FLEET_KEY = 'the-key-of-the-fleet';
const QUERY = { type: 'key-query', workspace: 'w', key: 'k' } as const;
const SELF = 'a~1';

/** Stall that is longer than the silence after which a link is closed, in milliseconds. */
const LONG_STALL_MS = 3_400;

/** Time limit of a request, in milliseconds. */
const REQUEST_MS = 200;

/** Stall that is longer than the limit of a request, in milliseconds. */
const STALL_MS = 400;

/** Stall that is longer than the limit of a handshake, in milliseconds. */
const HANDSHAKE_STALL_MS = 2_300;

/** Time within which the closing of a link reaches the peer over loopback, in milliseconds. */
const CLOSE_MS = 200;

const PLAN: PeerPlan = {
  fleetKey: FLEET_KEY,
  incarnation: 'b~1',
  dials: undefined,
  heartbeatMs: 500,
  reply: { type: 'key-known', record: null },
  replyAfterMs: 0,
  acceptAfterMs: 0,
};

function makeRecorder(): Recorder {
  const sinks = { logger: pino({ level: 'silent' }), metrics: new StatsD({ mock: true }) };
  return new Recorder(SELF, new SystemClock(), sinks);
}

async function startPeer(t: ExecutionContext, plan: PeerPlan): Promise<ThreadedPeer> {
  const peer = await ThreadedPeer.start(plan);
  t.teardown(() => peer.stop());
  return peer;
}

function dial(t: ExecutionContext, { address }: ThreadedPeer): PeerLink {
  const recorder = makeRecorder();
  const link = new PeerLink({
    self: SELF,
    fleetKey: FLEET_KEY,
    peer: 'b',
    address,
    clock: recorder.clock,
    recorder,
    onOpen: () => undefined,
    onClose: () => undefined,
  });
  t.teardown(() => link.close());
  return link;
}

test.serial(
  'a link is not closed for a silence that the process caused itself: dialling side',
  async (t) => {
    const peer = await startPeer(t, PLAN);
    const link = dial(t, peer);
    t.true((await link.request(QUERY, 2_000)).ok);
    await stall(LONG_STALL_MS);
    await delay(CLOSE_MS);
    t.is((await peer.record()).closed, 0);
    t.true((await link.request(QUERY, 2_000)).ok);
  },
);

test.serial(
  'a link is not closed for a silence that the process caused itself: accepting side',
  async (t) => {
    const recorder = makeRecorder();
    const port = await freePort();
    const listener = new PeerListener({
      self: SELF,
      fleetKey: FLEET_KEY,
      host: '127.0.0.1',
      port,
      clock: recorder.clock,
      recorder,
      isListed: () => Promise.resolve(true),
      handleRequest: () => Promise.resolve(undefined),
    });
    t.teardown(() => listener.close());
    const peer = await startPeer(t, { ...PLAN, dials: `127.0.0.1:${port}` });
    await stall(LONG_STALL_MS);
    await delay(CLOSE_MS);
    t.is((await peer.record()).closed, 0);
  },
);

test.serial(
  'a link to a peer that is silent is closed, also if the process has stalled before',
  async (t) => {
    const peer = await startPeer(t, { ...PLAN, heartbeatMs: 60_000 });
    const link = dial(t, peer);
    t.true((await link.request(QUERY, 2_000)).ok);
    await stall(STALL_MS);
    await delay(5_000);
    t.is((await peer.record()).closed, 1);
  },
);

test.serial(
  'a reply that waits unread when its time limit is due in a stall is taken',
  async (t) => {
    const peer = await startPeer(t, { ...PLAN, replyAfterMs: 100 });
    const link = dial(t, peer);
    t.true((await link.request(QUERY, 2_000)).ok);
    const reply = link.request(QUERY, REQUEST_MS);
    await stall(STALL_MS);
    t.true((await reply).ok);
    t.is((await peer.record()).requests, 2);
  },
);

test.serial('a link whose handshake ends in a stall beyond its time limit is opened', async (t) => {
  const peer = await startPeer(t, { ...PLAN, acceptAfterMs: 300 });
  const link = dial(t, peer);
  const reply = link.request(QUERY, 10_000);
  await delay(100);
  await stall(HANDSHAKE_STALL_MS);
  t.true((await reply).ok);
  t.is((await peer.record()).closed, 0);
});
