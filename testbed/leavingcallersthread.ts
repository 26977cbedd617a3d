/** Worker thread of LeavingCallers: opens connections, sends requests and disconnects. */
import { once } from 'node:events';
import { createConnection } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { parentPort, workerData } from 'node:worker_threads';

import type { Socket } from 'node:net';
import { CALLER_PLACEHOLDER } from './leavingcallers.js';

import type { RawExchange } from './rawexchange.js';
import type { LeavingMessage, LeavingPlan } from './leavingcallers.js';

function disconnect(socket: Socket, how: LeavingPlan['how']): void {
  if (how === 'reset') socket.resetAndDestroy();
  else if (how === 'destroy') socket.destroy();
  else if (how === 'close') socket.destroySoon();
  else socket.end();
}

/** Collects what a caller receives until its connection is closed. */
async function receive(socket: Socket, readAfterMs: number): Promise<RawExchange> {
  let text = '';
  let ending: RawExchange['ending'] = 'closed';
  setTimeout(() => {
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
  }, readAfterMs);
  socket.once('error', () => {
    ending = 'reset';
  });
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  return { text, ending };
}

async function open({ host, port, earlier, how }: LeavingPlan): Promise<Socket> {
  const socket = createConnection({ host, port, allowHalfOpen: how === 'half-close' });
  // The daemon may reset a connection that its caller has closed.
  socket.on('error', () => undefined);
  if (earlier === undefined) return socket;
  socket.write(earlier);
  await once(socket, 'data');
  return socket;
}

async function runCallers(plan: LeavingPlan): Promise<void> {
  const port = parentPort;
  if (!port) return;
  const post = (message: LeavingMessage): void => port.postMessage(message);
  const callers = Array.from({ length: plan.callers });
  const early = plan.earlier === undefined ? [] : await Promise.all(callers.map(() => open(plan)));
  post('ready');
  const asked = new Promise<number>((resolve) => {
    port.on('message', (message: 'send' | { readonly timeoutMs: number }) => {
      if (typeof message === 'object') resolve(message.timeoutMs);
    });
  });
  await once(port, 'message');
  const sockets = early.length > 0 ? early : await Promise.all(callers.map(() => open(plan)));
  // Other callers leave with what they were sent unread.
  const { how, readAfterMs = 0 } = plan;
  const received =
    how === 'half-close' ? sockets.map((socket) => receive(socket, readAfterMs)) : [];
  sockets.forEach((socket, caller) => {
    socket.write(plan.request.replaceAll(CALLER_PLACEHOLDER, String(caller)));
  });
  await delay(plan.leaveAfterMs);
  sockets.forEach((socket) => disconnect(socket, how));
  post('left');
  const timer = setTimeout(() => sockets.forEach((socket) => socket.destroy()), await asked);
  post({ received: await Promise.all(received) });
  clearTimeout(timer);
}

await runCallers(workerData as LeavingPlan);
