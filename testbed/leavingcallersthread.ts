/** Worker thread of LeavingCallers: opens connections, sends requests and disconnects. */
import { once } from 'node:events';
import { createConnection } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { parentPort, workerData } from 'node:worker_threads';

import type { Socket } from 'node:net';
import { CALLER_PLACEHOLDER } from './leavingcallers.js';

import type { LeavingPlan } from './leavingcallers.js';

type Message = 'ready' | 'left';

function disconnect(socket: Socket, how: LeavingPlan['how']): void {
  if (how === 'reset') socket.resetAndDestroy();
  else if (how === 'destroy') socket.destroy();
  else if (how === 'close') socket.destroySoon();
  else socket.end();
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
  const post = (message: Message): void => port.postMessage(message);
  const callers = Array.from({ length: plan.callers });
  const early = plan.earlier === undefined ? [] : await Promise.all(callers.map(() => open(plan)));
  post('ready');
  await once(port, 'message');
  const sockets = early.length > 0 ? early : await Promise.all(callers.map(() => open(plan)));
  sockets.forEach((socket, caller) => {
    socket.write(plan.request.replaceAll(CALLER_PLACEHOLDER, String(caller)));
  });
  await delay(plan.leaveAfterMs);
  sockets.forEach((socket) => disconnect(socket, plan.how));
  post('left');
}

await runCallers(workerData as LeavingPlan);
