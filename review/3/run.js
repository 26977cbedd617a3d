/* eslint-disable no-await-in-loop -- the steps of a case follow one another */
/**
 * One part of long prompts crashes each worker that begins to write an answer on it. It stands behind sixteen parts that
 * sound requests have too. Counts the requests with this part that reach workers once it should be known.
 */
import { Caller } from '../common/caller.js';
import { HAS_TROUBLE, runCase } from '../common/case.js';
import { Daemon, loopback } from '../common/daemon.js';
import { sleep } from '../common/net.js';
import { configuration, KEY } from '../common/site.js';
import { Worker } from '../common/worker.js';

const DEADLY = 'deadbeef';

/** One request in so many has the deadly part: a share of 0.05. */
const DEADLY_EVERY = 20;

/** For how long requests come, in milliseconds. */
const PLAY_MS = 22_000;

/** Time after which a crashed worker is back, in milliseconds. */
const BACK_MS = 3_000;

/** Parts before the deadly one. */
const PARTS_BEFORE = Number(process.env.PARTS_BEFORE ?? 16);

const CONTACT_MS = 3_000;

/** Crashes after which the deadly part has to be known, and requests with it that are still allowed. */
const CRASHES = 5;
const MAX_LATE = 3;

/** Time for a request on its way, in milliseconds. */
const SLACK_MS = 100;

const CALLERS = 24;

const hex = (value) => value.toString(16).padStart(8, '0');

/** Parts of a conversation: what all have in common, its subject and the new turn. */
function promptOf(number, isDeadly) {
  const shared = Array.from({ length: PARTS_BEFORE }, (_, index) => `${hex(0xa0000 + index)}:80`);
  const subject = isDeadly ? DEADLY : hex(0xb0000 + (number % 40));
  return [...shared, `${subject}:100`, `${hex(number)}:60`].join(',');
}

async function crash(worker, crashes, record) {
  if (worker.isDown) return;
  Object.assign(worker, { isDown: true });
  crashes.push(performance.now());
  record(`${worker.id} crashes, number ${crashes.length}`);
  worker.crash();
  await sleep(BACK_MS);
  await worker.restart();
  Object.assign(worker, { isDown: false });
}

runCase(import.meta.url, async ({ store, dir, daemons, workers, record }) => {
  store.put('config/main', configuration({ reserved: 900_000_000 }));
  const crashes = [];
  const arrivals = [];
  const handle = async (req, res, worker) => {
    const id = req.headers['attempt-id'];
    worker.runs.push(id);
    const isDeadly = req.headers['prompt-prefix'].includes(DEADLY);
    if (isDeadly) {
      arrivals.push(performance.now());
      record(`${id} with the deadly part reaches ${worker.id}`);
    }
    await sleep(30);
    if (res.destroyed) return;
    if (isDeadly) {
      void crash(worker, crashes, record);
      return;
    }
    res.writeHead(200, { ...worker.headersOf(req), 'content-type': 'text/event-stream' });
    for (let number = 1; number <= 20 && !res.destroyed; number += 1) {
      res.write(`id: ${number}\ndata: x\n\n`);
      await sleep(5);
    }
    res.end();
  };
  for (const id of ['w-1', 'w-2', 'w-3', 'w-4', 'w-5', 'w-6']) {
    const options = { id, service: 'pool', host: '127.0.0.1', zone: 'a', capacity: 64, store };
    workers.push(await Worker.start({ ...options, handle }));
  }
  for (const [name, ip] of [
    ['edge-1', loopback()],
    ['edge-2', loopback()],
  ]) {
    daemons.push(await Daemon.start({ name, ip, zone: 'a', store, dir }));
  }
  await sleep(3_500);
  const ends = {};
  let sent = 0;
  const until = performance.now() + PLAY_MS;
  const play = async (caller) => {
    while (performance.now() < until) {
      sent += 1;
      const isDeadly = HAS_TROUBLE && sent % DEADLY_EVERY === 0;
      const answer = await caller.call({
        path: '/query/1',
        deadlineMs: 12_000,
        headers: {
          'x-api-key': KEY,
          model: 'm',
          'token-usage': '1440,120',
          'prompt-prefix': promptOf(sent, isDeadly),
        },
        body: 'prompt',
      });
      const end = `${isDeadly ? 'deadly' : 'sound'} ${answer.status}${answer.isComplete ? '' : ' cut'}`;
      ends[end] = (ends[end] ?? 0) + 1;
      await sleep(200 + Math.random() * 200);
    }
  };
  await Promise.all(
    Array.from({ length: CALLERS }, (_, index) =>
      play(new Caller(`c-${index}`, daemons[index % daemons.length])),
    ),
  );
  const boundAt = (crashes[CRASHES - 1] ?? Infinity) + CONTACT_MS + SLACK_MS;
  const late = arrivals.filter((at) => at > boundAt).length;
  const runs = workers.map(({ id, runs: { length } }) => `${id} ${length}`).join(', ');
  record(`requests sent: ${sent}; begun by workers: ${runs}`);
  record(`requests by kind and answer: ${JSON.stringify(ends)}`);
  record(
    `crashes: ${crashes.length}; requests with the deadly part at workers: ${arrivals.length}`,
  );
  record(`of these later than ContactMs after the fifth crash: ${late}, allowed are ${MAX_LATE}`);
  return late <= MAX_LATE;
});
