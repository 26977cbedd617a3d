/** Worker thread of ThreadedUpstream. */
import { parentPort, workerData } from 'node:worker_threads';

import { RawUpstream } from './rawupstream.js';

import type { ThreadedPlan } from './threadedupstream.js';

const { answers, idHeader } = workerData as ThreadedPlan;
const upstream = await RawUpstream.start(answers, idHeader);
parentPort?.on('message', () => parentPort?.postMessage(upstream.requests.length));
parentPort?.postMessage(upstream.address);
