/** Worker thread of ReturningCallers: opens connections, sends requests and waits for the answers. */
import { once } from 'node:events';
import { createConnection } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

import type { Socket } from 'node:net';
import { looksComplete } from './rawexchange.js';

import type { ReturningExchange, ReturningPlan } from './returningcallers.js';

async function connect({ host, port }: ReturningPlan): Promise<Socket | undefined> {
  const socket = createConnection({ host, port });
  try {
    await once(socket, 'connect');
    return socket;
  } catch {
    return undefined;
  }
}

function exchange(socket: Socket, request: string): Promise<ReturningExchange> {
  const sentAt = performance.now();
  let text = '';
  return new Promise((resolve) => {
    const finish = (isAnswered: boolean): void => {
      resolve({ isAnswered, waitedMs: performance.now() - sentAt });
      socket.destroy();
    };
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      if (looksComplete({ text, ending: 'open' })) finish(true);
    });
    // The connection closes after an error as well.
    socket.on('error', () => undefined);
    socket.on('close', () => finish(false));
    socket.write(request);
  });
}

async function run(plan: ReturningPlan): Promise<readonly ReturningExchange[]> {
  const exchanges: ReturningExchange[] = [];
  /* eslint-disable no-await-in-loop */
  for (;;) {
    const socket = await connect(plan);
    if (!socket) return exchanges;
    exchanges.push(await exchange(socket, plan.request));
  }
  /* eslint-enable no-await-in-loop */
}

const port = parentPort;
if (port) {
  const plan = workerData as ReturningPlan;
  port.postMessage('begins');
  const callers = Array.from({ length: plan.callers }, () => run(plan));
  const exchanges = await Promise.all(callers);
  port.postMessage(exchanges.flat());
}
