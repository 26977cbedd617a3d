/** Worker thread of EndlessLoad: runs the faulty upstream and the callers of its service. */
import { createConnection } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

import { REQUEST_PLACEHOLDER } from './endlessload.js';
import { EndlessServer } from './endlessserver.js';

import type { EndlessCallers } from './endlessload.js';
import type { EndlessAnswer } from './endlessserver.js';

/** Time between two requests of a caller, in milliseconds. */
const CALL_INTERVAL_MS = 20;

/** Time after which a caller that reads nothing gives up, in milliseconds. */
const GIVE_UP_MS = 1_000;

let requests = 0;

function callOnce(callers: EndlessCallers, onEnd: () => void): void {
  const { host, port, request, reads } = callers;
  const socket = createConnection({ host, port });
  requests += 1;
  socket.write(request.replaceAll(REQUEST_PLACEHOLDER, `endless-${requests}`));
  if (reads) socket.resume();
  else setTimeout(() => socket.destroy(), GIVE_UP_MS);
  socket.on('error', () => undefined);
  socket.on('close', onEnd);
}

function callAgain(callers: EndlessCallers): void {
  callOnce(callers, () => setTimeout(() => callAgain(callers), CALL_INTERVAL_MS));
}

const server = await EndlessServer.start(workerData as EndlessAnswer);
parentPort?.on('message', (callers: EndlessCallers) => {
  Array.from({ length: callers.callers }).forEach(() => callAgain(callers));
});
parentPort?.postMessage(server.address);
