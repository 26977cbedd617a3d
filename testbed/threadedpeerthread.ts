/** Worker thread of ThreadedPeer. */
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { parentPort, workerData } from 'node:worker_threads';

import { WebSocket, WebSocketServer } from 'ws';
import { computeProof } from '../src/link/frames.js';
import { decodeFrame, encodeFrame } from '../src/link/peerlink.js';
import { listenOnFreePort } from './listening.js';

import type { Frame } from '../src/link/frames.js';
import type { PeerPlan, PeerRecord } from './threadedpeer.js';

const NONCE = 'nonce-of-a-stand-in';

const plan = workerData as PeerPlan;
const { fleetKey, incarnation, dials, heartbeatMs, reply, replyAfterMs, acceptAfterMs } = plan;
const seen = { closed: 0, requests: 0 };

function keepLink(socket: WebSocket): void {
  const send = (frame: Frame): void => socket.send(encodeFrame(frame));
  const answer = (frame: Frame): void => {
    switch (frame.kind) {
      case 'challenge':
        send({
          kind: 'hello',
          from: incarnation,
          nonce: NONCE,
          proof: computeProof(fleetKey, frame.nonce, incarnation),
        });
        break;
      case 'hello':
        send({
          kind: 'welcome',
          from: incarnation,
          proof: computeProof(fleetKey, frame.nonce, incarnation),
        });
        break;
      case 'welcome':
        parentPort?.postMessage('');
        break;
      case 'request':
        seen.requests += 1;
        setTimeout(() => {
          send({ kind: 'reply', id: frame.id, stamp: frame.stamp, body: reply });
        }, replyAfterMs);
        break;
      default:
    }
  };
  socket.on('message', (data) => {
    const frame = decodeFrame(data);
    if (frame) answer(frame);
  });
  socket.on('error', () => undefined);
  const heartbeats = setInterval(() => send({ kind: 'heartbeat' }), heartbeatMs);
  socket.on('close', () => {
    clearInterval(heartbeats);
    seen.closed += 1;
  });
}

async function listen(): Promise<void> {
  const server = createServer();
  const links = new WebSocketServer({ noServer: true });
  links.on('connection', (socket) => {
    keepLink(socket);
    socket.send(encodeFrame({ kind: 'challenge', nonce: NONCE }));
  });
  server.on('upgrade', (req, socket, head) => {
    void delay(acceptAfterMs).then(() => {
      links.handleUpgrade(req, socket, head, (link) => links.emit('connection', link, req));
    });
  });
  parentPort?.postMessage(await listenOnFreePort(server));
}

parentPort?.on('message', () => {
  const record: PeerRecord = { ...seen };
  parentPort?.postMessage(record);
});
if (dials === undefined) await listen();
else keepLink(new WebSocket(`ws://${dials}`));
