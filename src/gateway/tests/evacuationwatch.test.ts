import test from 'ava';
import { pino } from 'pino';

import type { ExecutionContext } from 'ava';
import { CutStore } from '../../../testbed/cutstore.js';
import { MemoryHub } from '../../../testbed/memoryhub.js';
import { waitFor } from '../../../testbed/wait.js';
import { WatchedStore } from '../../../testbed/watchedstore.js';
import { newIncarnation, SteadyClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { EvacuationWatch } from '../evacuationwatch.js';
import { GatewayMetrics } from '../metrics.js';

const PREFIX = 'evacuations/';

interface Daemon {
  /** Data centres whose evacuations have ended, in order. */
  readonly ended: readonly string[];
  readonly path: CutStore;
  readonly watch: EvacuationWatch;
}

function startDaemon(
  t: ExecutionContext,
  store: WatchedStore,
  hub: MemoryHub,
  name: string,
): Daemon {
  const clock = new SteadyClock();
  const self = newIncarnation(name);
  const path = new CutStore(store);
  const ended: string[] = [];
  const sinks = { logger: pino({ level: 'silent' }), metrics: undefined };
  const watch = new EvacuationWatch({
    store: path,
    prefix: PREFIX,
    evacuateMs: 5_000,
    watchMs: 4_000,
    clock,
    recorder: new Recorder(self, clock, sinks),
    metrics: new GatewayMetrics(),
    random: Math.random,
    onEnded: (dataCentre) => ended.push(dataCentre),
    onLost: () => undefined,
    onRegained: () => undefined,
  });
  watch.join(hub.join(self));
  t.teardown(() => {
    watch.follower.stop();
    watch.stop();
  });
  return { ended, path, watch };
}

function run({ watch }: Daemon): void {
  void watch.follower.run();
}

function inForce({ watch }: Daemon): string {
  return watch.evacuations.dataCentres(0).join(',');
}

test('an evacuation that begins and ends is in force at every daemon meanwhile, over a dropped history and an outage', async (t) => {
  const store = new WatchedStore();
  const hub = new MemoryHub(() => 'lost-before');
  const daemons = ['x', 'y', 'z'].map((name) => startDaemon(t, store, hub, name));
  const all = (expected: string): boolean => daemons.every((each) => inForce(each) === expected);
  store.put(`${PREFIX}a`);
  daemons.forEach(run);
  await waitFor('the listing', () => all('a'));
  store.put(`${PREFIX}b`);
  await waitFor('the second one', () => all('a,b'));
  store.drop(`${PREFIX}a`);
  await waitFor('the end of the first one', () => all('b'));
  store.put(`${PREFIX}c`);
  store.compact();
  await waitFor('the listing after a dropped history', () => all('b,c'));
  store.isDown = true;
  store.drop(`${PREFIX}b`);
  store.put(`${PREFIX}d`);
  store.isDown = false;
  await waitFor('the changes made in an outage', () => all('c,d'));
  daemons.forEach(({ ended }) => t.deepEqual(ended, ['a', 'b']));
});

test('a daemon that is cut off from the store hears of evacuations from the others', async (t) => {
  const store = new WatchedStore();
  const hub = new MemoryHub(() => 'answered');
  const daemons = ['x', 'y', 'z'].map((name) => startDaemon(t, store, hub, name));
  const [cut] = daemons as [Daemon];
  daemons.forEach(run);
  await waitFor('the empty listing', () => daemons.every(({ watch }) => watch.evacuations.isKnown));
  cut.path.isCut = true;
  store.put(`${PREFIX}a`);
  await waitFor('the evacuation', () => inForce(cut) === 'a');
  store.drop(`${PREFIX}a`);
  await waitFor('its end', () => inForce(cut) === '');
  t.pass();
});

test('a daemon that starts while it is cut off from the store asks the others before it serves', async (t) => {
  const store = new WatchedStore();
  const hub = new MemoryHub(() => 'answered');
  const first = startDaemon(t, store, hub, 'x');
  store.put(`${PREFIX}a`);
  run(first);
  await waitFor('the listing', () => inForce(first) === 'a');
  const late = startDaemon(t, store, hub, 'y');
  late.path.isCut = true;
  run(late);
  t.false(late.watch.evacuations.isKnown);
  await waitFor('the report of the other daemon', () => late.watch.evacuations.isKnown);
  t.is(inForce(late), 'a');
});

test('an evacuation whose grace period is over does not end before its upstreams count as cold', async (t) => {
  const store = new WatchedStore();
  const daemon = startDaemon(t, store, new MemoryHub(() => 'answered'), 'x');
  const { ended, watch } = daemon;
  store.put(`${PREFIX}a`);
  run(daemon);
  await waitFor('the listing', () => inForce(daemon) === 'a');
  const { evacuations } = watch;
  // Another era of the store, without the evacuation: its grace period is long over at the time that is asked for.
  evacuations.applyListing({ era: 1, revision: 0, dataCentres: [] }, 0);
  const afterGrace = 60_000;
  t.false(evacuations.has('a', afterGrace));
  t.deepEqual(ended, []);
  t.true(watch.isEvacuated('a', afterGrace));
  await waitFor('the end of the grace period', () => ended.length > 0, 10_000);
  t.false(watch.isEvacuated('a', afterGrace));
});

test('an evacuation that a daemon takes over shortly before its end does not end before its upstreams count as cold', async (t) => {
  const daemon = startDaemon(t, new WatchedStore(), new MemoryHub(() => 'answered'), 'x');
  const { ended, watch } = daemon;
  const now = new SteadyClock().now();
  watch.await([{ dataCentre: 'a', leftMs: 100 }], now);
  const afterGrace = now + 60_000;
  t.true(watch.isEvacuated('a', afterGrace));
  await waitFor('the end of the grace period', () => ended.length > 0);
  t.deepEqual(ended, ['a']);
  t.false(watch.isEvacuated('a', afterGrace));
});
