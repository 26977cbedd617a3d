/** Benchmark of the time until a charge is durable, by a copy at a peer or by a store write. */
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

/** Response time of the store, in milliseconds. */
const STORE_DELAY_MS = 4;

/** One-way delay between data centres, in milliseconds. */
const PEER_DELAY_MS = 1.5;

/** Charges per second with each method. */
const CHARGES_PER_SECOND = 400;

/** Duration of the run, in milliseconds. */
const RUN_DURATION_MS = 8_000;

/** Interval at which charges copied to the peer are delivered to the store, in milliseconds. */
const FLUSH_INTERVAL_MS = 500;

const US_PER_MS = 1_000;

/** A method of making charges durable, with its measurements in microseconds. */
interface DurabilityMethod {
  readonly name: string;
  readonly outbox: Outbox;
  readonly store: FakeObjectStore;
  readonly waits: Histogram;
}

function recorderOf(self: string): Recorder {
  const metrics = new StatsD({ mock: true });
  return new Recorder(self, new SystemClock(), { logger: pino({ level: 'silent' }), metrics });
}

async function makeMethod(name: string, hasPeer: boolean): Promise<DurabilityMethod> {
  const port = await freePort();
  const store = await FakeObjectStore.start({ host: HOST, port });
  store.setFaults({ delayMs: STORE_DELAY_MS });
  const self = `${name}~1`;
  const network = new LocalNetwork(self, 'dc-1', PEER_DELAY_MS);
  const backups = new Backups(self, 'dc-1', network);
  if (hasPeer) {
    const peer = new LocalNetwork('peer~1', 'dc-2', PEER_DELAY_MS);
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

async function charge(method: DurabilityMethod, key: string): Promise<void> {
  const began = performance.now();
  const isDurable = await method.outbox.record({ key, workspace: 'w', budget: 'b', units: 1 });
  if (!isDurable) throw new Error(`${method.name}: ${key} did not become durable`);
  method.waits.recordValue(Math.round((performance.now() - began) * US_PER_MS));
}

async function load(method: DurabilityMethod, random: () => number): Promise<number> {
  const running: Promise<void>[] = [];
  const began = performance.now();
  let due = 0;
  while (due < RUN_DURATION_MS) {
    // Arrivals are a Poisson process with a constant mean rate.
    due += (-Math.log(1 - random()) * 1_000) / CHARGES_PER_SECOND;
    const ahead = due - (performance.now() - began);
    // eslint-disable-next-line no-await-in-loop
    if (ahead > 1) await delay(ahead);
    running.push(charge(method, `${method.name}-${running.length}`));
  }
  await Promise.all(running);
  await method.outbox.deliver();
  return running.length;
}

function figures(method: DurabilityMethod, charges: number): readonly Figure[] {
  const wait = (percentile: number): number =>
    method.waits.getValueAtPercentile(percentile) / US_PER_MS;
  const name = `durability.${method.name}`;
  return [
    { name: `${name}.wait-p50`, value: wait(50), unit: 'ms' },
    { name: `${name}.wait-p99`, value: wait(99), unit: 'ms' },
    {
      name: `${name}.store-writes-per-second`,
      value: (method.store.counts.writes * 1_000) / RUN_DURATION_MS,
      unit: '1/s',
    },
    {
      name: `${name}.store-calls-per-charge`,
      value: (method.store.counts.writes + method.store.counts.reads) / charges,
      unit: 'calls',
    },
  ];
}

/** Compares a peer copy with group commit to the store, at the same time and rate. */
export class DurabilityBench extends BenchGroup {
  override readonly name = 'durability';

  override async run(ctx: BenchContext): Promise<readonly Figure[]> {
    const random = seededRandom(ctx.seed);
    const peer = await makeMethod('peer-copy', true);
    const store = await makeMethod('group-commit', false);
    ctx.say(
      `${CHARGES_PER_SECOND} charges/s each; store ${STORE_DELAY_MS} ms, peers ${PEER_DELAY_MS} ms one way`,
    );
    const flush = setInterval(() => {
      void peer.outbox.deliver();
    }, FLUSH_INTERVAL_MS);
    const [copied, committed] = await Promise.all([load(peer, random), load(store, random)]);
    clearInterval(flush);
    await Promise.all([peer.store.stop(), store.store.stop()]);
    const median = (method: DurabilityMethod): number => method.waits.getValueAtPercentile(50);
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
