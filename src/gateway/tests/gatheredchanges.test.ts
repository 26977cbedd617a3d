import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';
import { pino } from 'pino';

import { FaultyStore } from '../../../testbed/faultystore.js';
import { newIncarnation, Ok, SteadyClock, SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { batchDelayMs, RoutingState } from '../routingstate.js';

import type { Result } from '../../kernel/index.js';
import type { ObjectChange, Snapshot, StoreError, WatchBatch } from '../../store/index.js';
import type { PlatformAdapter } from '../adapter.js';
import type { ChangeBounds } from '../routingstate.js';

const UPSTREAMS = 'upstreams/';

/** Interval of the changes, and time for which they come, in milliseconds. */
const CHANGE_INTERVAL_MS = 40;
const FOR_MS = 4_000;

/** Store in which an upstream changes all the time, and which answers a watch as soon as there is a change. */
class BusyStore extends FaultyStore {
  readonly #changes: ObjectChange[] = [];

  readonly #waiting: (() => void)[] = [];

  /** Number of watches of the upstreams. */
  watches = 0;

  constructor() {
    super(() => 'answered');
  }

  /** Changes the upstream; the value is the time. */
  change(): void {
    const version = this.#changes.length + 1;
    this.#changes.push({ key: `${UPSTREAMS}u`, version, value: performance.now() });
    this.#waiting.splice(0).forEach((wake) => wake());
  }

  override async snapshot(prefix: string): Promise<Result<Snapshot, StoreError>> {
    return Promise.resolve(
      Ok({ objects: [], position: prefix === UPSTREAMS ? this.#changes.length : 0 }),
    );
  }

  override async watch(
    prefix: string,
    position: number,
    waitMs: number,
  ): Promise<Result<WatchBatch, StoreError>> {
    if (prefix !== UPSTREAMS) return super.watch(prefix, position, waitMs);
    this.watches += 1;
    if (this.#changes.length <= position) {
      const changed = new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
      await Promise.race([delay(waitMs), changed]);
    }
    const changes = this.#changes.slice(position);
    return Ok({ changes, position: this.#changes.length });
  }
}

interface Row {
  readonly title: string;
  readonly bounds: ChangeBounds;
  /** Watches in that time, at most: the first one, and one after each pause; and age of a change when it is applied, at most, in milliseconds. */
  readonly calls: number;
  readonly lateMs: number;
}

const ROWS: readonly Row[] = [
  {
    title: 'within 3 s',
    bounds: { drainMs: 3_000 },
    calls: 5,
    lateMs: 1_500,
  },
  {
    title: 'within 2 s',
    bounds: { drainMs: 2_000 },
    calls: 6,
    lateMs: 1_100,
  },
  {
    title: 'within an unknown time',
    bounds: {},
    calls: 11,
    lateMs: 700,
  },
];

ROWS.forEach(({ title, bounds, calls, lateMs }) => {
  test(`upstreams that change all the time cost few calls, and are known in time: ${title}`, async (t) => {
    const store = new BusyStore();
    const ages: number[] = [];
    const adapter = {
      store,
      configurationKey: 'configuration/current',
      upstreamsPrefix: UPSTREAMS,
      decodeUpstream: (id: string, value: unknown) => {
        ages.push(performance.now() - Number(value));
        return Ok({
          id,
          startedAt: 1,
          service: 's',
          address: '127.0.0.1:1',
          dataCentre: 'a',
          capacity: 8,
          isLeaving: false,
          warmupMs: 0,
        });
      },
    } as unknown as PlatformAdapter;
    const sinks = { logger: pino({ level: 'silent' }), metrics: undefined };
    const recorder = new Recorder(newIncarnation('a'), new SystemClock(), sinks);
    const clock = new SteadyClock();
    const routingState = new RoutingState(adapter, recorder, clock, 3_000, undefined, bounds);
    routingState.start();
    t.teardown(() => routingState.stop());
    const endsAt = performance.now() + FOR_MS;
    while (performance.now() < endsAt) {
      store.change();
      // eslint-disable-next-line no-await-in-loop
      await delay(CHANGE_INTERVAL_MS);
    }
    t.true(store.watches <= calls, `${store.watches} watches`);
    const oldest = Math.max(...ages);
    t.true(ages.length > 0 && oldest <= lateMs, `known ${oldest} ms late`);
  });
});

test('the pause of a watch leaves most of the time in which a change must be in force', (t) => {
  [1_000, 2_000, 3_000, 30_000].forEach((boundMs) => {
    t.true(batchDelayMs(boundMs) <= boundMs / 2, `${boundMs} ms`);
    t.true(batchDelayMs(boundMs) <= 1_200);
  });
  t.is(batchDelayMs(null), batchDelayMs(undefined));
});
