/* eslint-disable no-await-in-loop -- the steps of a case follow one another */
/**
 * Workers send some answers without a length or chunks, which end with their connections. Faulty workers reset a few such
 * answers midway. Counts the partial answers that look complete to the caller, and the whole ones that are broken off.
 */
import { Caller } from '../common/caller.js';
import { HAS_TROUBLE, runCase } from '../common/case.js';
import { Daemon, loopback } from '../common/daemon.js';
import { sleep } from '../common/net.js';
import { configuration, KEY } from '../common/site.js';
import { Worker } from '../common/worker.js';

/** One answer in so many has neither a length nor chunks. */
const UNFRAMED_EVERY = 3;

/** Share of their answers that faulty workers reset midway; half of the workers are faulty. */
const BROKEN_SHARE = 0.05;

const CALLERS = 200;

/** Pause of a caller between two requests, in milliseconds: least and range. */
const PAUSE_MS = 100;
const PAUSE_RANGE_MS = 200;

const PLAY_MS = 60_000;

/** Length of a spell of faults, which comes at the start of each period, in milliseconds. */
const SPELL_MS = 5_000;
const PERIOD_MS = 10_000;

const bodyOf = (id) => `charged ${id}: ${'0123456789'.repeat(20)} end`;

/** Runs a charge and answers it. */
async function handle(req, res, worker) {
  const id = req.headers['attempt-id'];
  const { socket } = req;
  worker.runs.push(id);
  const isSpell = HAS_TROUBLE && (performance.now() - worker.since) % PERIOD_MS < SPELL_MS;
  const isBroken = isSpell && worker.isFaulty && Math.random() < BROKEN_SHARE;
  const isUnframed = isBroken || worker.runs.length % UNFRAMED_EVERY === 0;
  await sleep(20);
  const body = bodyOf(id);
  if (!isUnframed) {
    res.writeHead(200, worker.headersOf(req));
    res.write(body);
    res.end();
    return;
  }
  const head = Object.entries(worker.headersOf(req)).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  socket.write(`HTTP/1.1 200 OK\r\n${head.join('')}Connection: close\r\n\r\n`);
  if (isBroken) {
    worker.broken.add(id);
    socket.write(body.slice(0, 60));
    await sleep(20);
    socket.resetAndDestroy();
  } else socket.end(body);
}

runCase(import.meta.url, async ({ store, dir, daemons, workers, record }) => {
  store.put('config/main', configuration());
  for (const id of ['w-1', 'w-2', 'w-3', 'w-4']) {
    const options = { id, service: 'desk', host: '127.0.0.1', zone: 'a', capacity: 60, store };
    const worker = await Worker.start({ ...options, handle });
    worker.isFaulty = id === 'w-1' || id === 'w-2';
    worker.broken = new Set();
    workers.push(worker);
  }
  for (const name of ['edge-1', 'edge-2', 'edge-3', 'edge-4']) {
    daemons.push(await Daemon.start({ name, ip: loopback(), zone: 'a', store, dir }));
  }
  await sleep(3_500);
  const since = performance.now();
  workers.forEach((worker) => Object.assign(worker, { since }));
  const until = since + PLAY_MS;
  const counts = { sent: 0, whole: 0, failed: 0, cut: 0, cutThoughWhole: 0, partial: 0 };
  const play = async (caller) => {
    while (performance.now() < until) {
      const answer = await caller.call({
        path: '/charge/1',
        headers: { 'x-api-key': KEY },
        body: 'fee',
      });
      counts.sent += 1;
      const { id, status, isComplete, text } = answer;
      const isBroken = workers.some(({ broken }) => broken.has(id));
      if (status !== 200) counts.failed += 1;
      else if (!isComplete) {
        counts.cut += 1;
        if (!isBroken) counts.cutThoughWhole += 1;
      } else if (text === bodyOf(id)) counts.whole += 1;
      else {
        counts.partial += 1;
        record(
          `${id}: complete answer with status 200 and ${text.length} of ${bodyOf(id).length} bytes: "${text}"`,
        );
      }
      await sleep(PAUSE_MS + Math.random() * PAUSE_RANGE_MS);
    }
  };
  await Promise.all(
    Array.from({ length: CALLERS }, (_, index) =>
      play(new Caller(`c-${index}`, daemons[index % daemons.length])),
    ),
  );
  const broken = workers.reduce((sum, worker) => sum + worker.broken.size, 0);
  const runs = workers.map(({ id, runs: { length } }) => `${id} ${length}`).join(', ');
  record(`requests run by workers: ${runs}`);
  record(`answers that were reset midway: ${broken}; requests: ${JSON.stringify(counts)}`);
  return counts.partial === 0;
});
