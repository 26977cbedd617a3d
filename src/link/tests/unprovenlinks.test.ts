import { once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';

import { StatsD } from 'hot-shots';
import { pino } from 'pino';
import test from 'ava';
import { WebSocket } from 'ws';

import { freePort } from '../../../testbed/ports.js';
import { SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { computeProof } from '../frames.js';
import { decodeFrame, encodeFrame } from '../peerlink.js';
import { PeerListener } from '../peerlistener.js';

const FLEET_KEY = 'the-key-of-the-fleet';

/** Time within which a link that is refused closes over loopback, in milliseconds. */
const CLOSE_MS = 500;

interface Row {
  readonly title: string;
  /** Frame that the peer sends first. */
  readonly sent: Buffer;
  /** Whether the rest of the message is missing. */
  readonly isFragment?: boolean;
  /** Whether the peer proves that it knows the key before. */
  readonly proves?: boolean;
  readonly stays: boolean;
}

const HEARTBEAT = Buffer.from(encodeFrame({ kind: 'heartbeat' }));

const ROWS: readonly Row[] = [
  { title: 'a large frame', sent: Buffer.alloc(1_000_000, 1), stays: false },
  { title: 'a large fragment', sent: Buffer.alloc(1_000_000, 1), isFragment: true, stays: false },
  { title: 'a small frame that is none', sent: Buffer.alloc(10, 1), stays: false },
  { title: 'a heartbeat', sent: HEARTBEAT, stays: false },
  {
    title: 'a large frame after the proof',
    sent: Buffer.alloc(1_000_000, 1),
    proves: true,
    stays: true,
  },
  { title: 'a heartbeat after the proof', sent: HEARTBEAT, proves: true, stays: true },
];

async function prove(link: WebSocket): Promise<void> {
  const [challenge] = (await once(link, 'message')) as [Buffer];
  const frame = decodeFrame(challenge);
  if (frame?.kind !== 'challenge') throw new Error('the listener sent no challenge');
  const proof = computeProof(FLEET_KEY, frame.nonce, 'b~1');
  link.send(encodeFrame({ kind: 'hello', from: 'b~1', nonce: 'n', proof }));
  await once(link, 'message');
}

ROWS.forEach(({ title, sent, isFragment = false, proves = false, stays }) => {
  test(`a link ${stays ? 'stays' : 'is closed'} on ${title}`, async (t) => {
    const sinks = { logger: pino({ level: 'silent' }), metrics: new StatsD({ mock: true }) };
    const recorder = new Recorder('a~1', new SystemClock(), sinks);
    const port = await freePort();
    const listener = new PeerListener({
      self: 'a~1',
      fleetKey: FLEET_KEY,
      host: '127.0.0.1',
      port,
      clock: recorder.clock,
      recorder,
      isListed: () => Promise.resolve(true),
      handleRequest: () => Promise.resolve(undefined),
    });
    t.teardown(() => listener.close());
    const link = new WebSocket(`ws://127.0.0.1:${port}`);
    link.on('error', () => undefined);
    let isClosed = false;
    link.on('close', () => {
      isClosed = true;
    });
    if (proves) await prove(link);
    else await once(link, 'open');
    link.send(sent, { fin: !isFragment });
    await delay(CLOSE_MS);
    t.is(isClosed, !stays);
    const refused = recorder.timeline.list().some(({ name }) => name === 'linkRefused');
    t.is(refused, !stays);
  });
});
