/** Worker thread of StalledCallers: opens connections, sends requests and reads the answers. */
import { once } from 'node:events';
import { createConnection } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { parentPort, workerData } from 'node:worker_threads';

import type { Socket } from 'node:net';
import { looksComplete } from './rawexchange.js';

import type { StalledExchange, StalledPlan } from './stalledcallers.js';

function connect({ host, port }: StalledPlan): Socket {
  const socket = createConnection({ host, port });
  // How a connection ended is part of the result.
  socket.on('error', () => undefined);
  return socket;
}

async function open(plan: StalledPlan): Promise<Socket> {
  const socket = connect(plan);
  await once(socket, 'connect');
  if (plan.opens === 'used') {
    socket.write(plan.request);
    await once(socket, 'data');
  }
  return socket;
}

async function exchange(plan: StalledPlan, socket: Socket): Promise<StalledExchange> {
  let text = '';
  let ending: StalledExchange['ending'] = 'open';
  const done = new AbortController();
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
    if (looksComplete({ text, ending: 'open' })) done.abort();
  });
  socket.on('error', () => {
    ending = 'reset';
  });
  socket.on('end', () => {
    ending = 'closed';
  });
  socket.on('close', () => done.abort());
  socket.write(plan.request);
  await delay(plan.waitMs, undefined, { signal: done.signal }).catch(() => undefined);
  return { text, ending };
}

const port = parentPort;
if (port) {
  const plan = workerData as StalledPlan;
  const callers = Array.from({ length: plan.callers });
  const early = plan.opens === 'with request' ? [] : callers.map(() => open(plan));
  const opened = await Promise.all(early);
  port.postMessage('ready');
  await once(port, 'message');
  await delay(plan.sendAfterMs);
  const sockets = opened.length > 0 ? opened : callers.map(() => connect(plan));
  const exchanges = await Promise.all(sockets.map((socket) => exchange(plan, socket)));
  port.postMessage(exchanges);
}
