/* eslint-disable no-await-in-loop -- the steps of a case follow one another */
/**
 * The store is down for a second shortly after a machine was added. Counts the daemons that still answer by an old
 * configuration long after the store is back.
 */
import { Caller } from '../common/caller.js';
import { HAS_TROUBLE, runCase } from '../common/case.js';
import { Daemon, loopback } from '../common/daemon.js';
import { sleep } from '../common/net.js';
import { configuration, KEY } from '../common/site.js';
import { Worker } from '../common/worker.js';

const MACHINES = 7;

/** Number of machines that are added, one after the other. */
const ROUNDS = 3;

/** When the store goes down after the new machine has registered, and when it is up again, in milliseconds. */
const DOWN_MS = Number(process.env.DOWN_MS ?? 600);
const UP_MS = Number(process.env.UP_MS ?? 1_650);

/** Bounds of the site, in milliseconds, and time for a request on its way. */
const CONTACT_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;
const SLACK_MS = 250;

/** Number of questions about a route that was added, one a second, while a daemon doesn't know it. */
const QUESTIONS = 17;

async function handle(req, res, worker) {
  worker.runs.push(req.headers['attempt-id']);
  await sleep(15);
  res.writeHead(200, { ...worker.headersOf(req), 'content-length': 2 });
  res.end('ok');
}

/** Builds a version that has one route more than the first one. */
function withRoute(version) {
  const next = configuration({ version });
  const charge = next.Routes.find(({ Name }) => Name === 'r-charge');
  next.Routes.push({ ...charge, Name: `r-new-${version}`, PathPrefix: `/new-${version}/` });
  return next;
}

runCase(import.meta.url, async ({ store, dir, daemons, workers, record }) => {
  store.put('config/main', configuration({ version: 1 }));
  for (const id of ['w-1', 'w-2', 'w-3']) {
    const options = { id, service: 'desk', host: '127.0.0.1', zone: 'a', capacity: 60, store };
    workers.push(await Worker.start({ ...options, handle }));
    await sleep(300);
  }
  const start = (name) => Daemon.start({ name, ip: loopback(), zone: 'a', store, dir });
  const names = Array.from({ length: MACHINES }, (_, index) => `edge-${index + 1}`);
  daemons.push(...(await Promise.all(names.map(start))));
  await sleep(5_000);
  let stale = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    const old = [...daemons];
    const registered = store.count('daemons');
    const added = start(`edge-added-${round}`);
    while (store.count('daemons') === registered) await sleep(2);
    record(`round ${round}: the added machine has registered`);
    await sleep(DOWN_MS);
    if (HAS_TROUBLE) {
      store.goDown();
      record('the store is down');
    }
    await sleep(UP_MS - DOWN_MS);
    if (HAS_TROUBLE) {
      store.goUp();
      record('the store is up');
    }
    daemons.push(await added);
    await sleep(CONTACT_MS + SLACK_MS);
    const version = 3 * round;
    store.put('config/main', withRoute(version));
    const ackAt = performance.now();
    record(`version ${version} is acknowledged, which adds a route`);
    await sleep(CONFIG_APPLY_MS + SLACK_MS);
    for (let question = 1; question <= QUESTIONS; question += 1) {
      const sentMs = Math.round(performance.now() - ackAt);
      const answers = await Promise.all(
        old.map((daemon) =>
          new Caller(`p-${round}-${question}-${daemon.name}`, daemon).call({
            path: `/new-${version}/1`,
            headers: { 'x-api-key': KEY },
            body: 'fee',
          }),
        ),
      );
      const unaware = old.filter((_, index) => answers[index].status === 404);
      const list = old.map(({ name }, index) => `${name} ${answers[index].status}`).join(', ');
      record(`requests sent ${sentMs} ms later, answers: ${list}`);
      stale += unaware.length;
      if (unaware.length === 0) break;
      await sleep(1_000);
    }
  }
  const runs = workers.reduce((sum, worker) => sum + worker.runs.length, 0);
  record(`requests run by workers: ${runs}`);
  record(`requests that were refused by an older version: ${stale}`);
  return stale === 0;
});
