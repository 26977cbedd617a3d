/** Benchmark: how long a charge waits until it is durable, at a peer and in the store, in one run. */
import { setTimeout as delay } from 'node:timers/promises';

import { build } from 'hdr-histogram-js';
import { StatsD } from 'hot-shots';
import { pino } from 'pino';

import type { Histogram } from 'hdr-histogram-js';
import { FakeObjectStore } from '../fakes/index.js';
import { Backups } from '../src/daemon/backups.js';
import { Outbox } from '../src/daemon/outbox.js';
import { SystemClock } from '../src/kernel/index.js';
import { HttpObjectStore } from '../src/store/index.js';
import { Recorder } from '../src/telemetry/index.js';
import { freePort } from '../testbed/ports.js';
import { seededRandom } from '../testbed/seed.js';
import { BenchGroup } from './figure.js';
import { LocalNetwork } from '../testbed/localnetwork.js';

import type { BenchContext, Figure } from './figure.js';

const HOST = '127.0.0.1';

/** Time to answer of the store, in milliseconds. */
const STORE_MS = 4;

/** One-way delay between data centres, in milliseconds. */
const ONE_WAY_MS = 1.5;

/** Charges a second of each way. */
const RATE = 400;

/** Length of the run, in milliseconds. */
const RUN_MS = 8_000;

/** Interval of deliveries behind the peer copy, in milliseconds. */
const FLUSH_MS = 500;

const US_PER_MS = 1_000;

/** One way to make charges durable. */
interface Way {
  readonly name: string;
  readonly outbox: Outbox;
  readonly store: FakeObjectStore;
  readonly waits: Histogram;
}

function recorderOf(self: string): Recorder {
  const metrics = new StatsD({ mock: true });
  return new Recorder(self, new SystemClock(), { logger: pino({ level: 'silent' }), metrics });
}

async function makeWay(name: string, hasPeer: boolean): Promise<Way> {
  const port = await freePort();
  const store = await FakeObjectStore.start({ host: HOST, port });
  store.setFaults({ delayMs: STORE_MS });
  const self = `${name}~1`;
  const network = new LocalNetwork(self, 'dc-1', ONE_WAY_MS);
  const backups = new Backups(self, 'dc-1', network);
  if (hasPeer) {
    const peer = new LocalNetwork('peer~1', 'dc-2', ONE_WAY_MS);
    network.connect(peer);
    void new Backups('peer~1', 'dc-2', peer);
  }
  const outbox = new Outbox(0, {
    self,
    store: new HttpObjectStore(`http://${HOST}:${port}`),
    backups,
    recorder: recorderOf(self),
    onFenced: () => undefined,
  });
  await outbox.join();
  return { name, outbox, store, waits: build() };
}

async function charge(way: Way, key: string): Promise<void> {
  const began = performance.now();
  const isDurable = await way.outbox.record({ key, workspace: 'w', budget: 'b', units: 1 });
  if (!isDurable) throw new Error(`${way.name}: ${key} did not become durable`);
  way.waits.recordValue(Math.round((performance.now() - began) * US_PER_MS));
}

async function load(way: Way, random: () => number): Promise<number> {
  const running: Promise<void>[] = [];
  const began = performance.now();
  let due = 0;
  while (due < RUN_MS) {
    // Arrivals are independent of each other, at a constant mean rate.
    due += (-Math.log(1 - random()) * 1_000) / RATE;
    const ahead = due - (performance.now() - began);
    // eslint-disable-next-line no-await-in-loop
    if (ahead > 1) await delay(ahead);
    running.push(charge(way, `${way.name}-${running.length}`));
  }
  await Promise.all(running);
  await way.outbox.deliver();
  return running.length;
}

function figures(way: Way, charges: number): readonly Figure[] {
  const wait = (percentile: number): number =>
    way.waits.getValueAtPercentile(percentile) / US_PER_MS;
  const name = `durability.${way.name}`;
  return [
    { name: `${name}.wait-p50`, value: wait(50), unit: 'ms' },
    { name: `${name}.wait-p99`, value: wait(99), unit: 'ms' },
    {
      name: `${name}.store-writes-per-second`,
      value: (way.store.counts.writes * 1_000) / RUN_MS,
      unit: '1/s',
    },
    {
      name: `${name}.store-calls-per-charge`,
      value: (way.store.counts.writes + way.store.counts.reads) / charges,
      unit: 'calls',
    },
  ];
}

/** Peer copy beside group commit straight to the store, under the same load at the same time. */
export class DurabilityBench extends BenchGroup {
  override readonly name = 'durability';

  override async run(ctx: BenchContext): Promise<readonly Figure[]> {
    const random = seededRandom(ctx.seed);
    const peer = await makeWay('peer-copy', true);
    const store = await makeWay('group-commit', false);
    ctx.say(`${RATE} charges a second each; store ${STORE_MS} ms, peers ${ONE_WAY_MS} ms one way`);
    const flush = setInterval(() => {
      void peer.outbox.deliver();
    }, FLUSH_MS);
    const [copied, committed] = await Promise.all([load(peer, random), load(store, random)]);
    clearInterval(flush);
    await Promise.all([peer.store.stop(), store.store.stop()]);
    const median = (way: Way): number => way.waits.getValueAtPercentile(50);
    return [
      ...figures(peer, copied),
      ...figures(store, committed),
      {
        name: 'durability.group-commit-to-peer-copy.wait-p50',
        value: median(store) / median(peer),
        unit: 'times',
      },
    ];
  }
}
