import test from 'ava';
import { pino } from 'pino';

import { FaultyStore } from '../../../testbed/faultystore.js';
import { waitFor } from '../../../testbed/wait.js';
import { Err, newIncarnation, Ok, SteadyClock, SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { RoutingState } from '../routingstate.js';

import type { Result } from '../../kernel/index.js';
import type { ObjectChange, StoreError, WatchBatch } from '../../store/index.js';
import type { PlatformAdapter } from '../adapter.js';
import type { GatewayConfiguration } from '../configuration.js';

const KEY = 'configuration/current';

function configuration(version: number): GatewayConfiguration {
  const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes: [], services: [], workspaces: undefined, limits };
}

/** Store that returns prepared changes from the first watch of the configuration. */
class BurstStore extends FaultyStore {
  #isGiven = false;

  constructor(private readonly changes: readonly ObjectChange[]) {
    super(() => 'answered');
  }

  override async watch(
    prefix: string,
    position: number,
    waitMs: number,
  ): Promise<Result<WatchBatch, StoreError>> {
    if (!KEY.startsWith(prefix) || this.#isGiven) return super.watch(prefix, position, waitMs);
    this.#isGiven = true;
    return Ok({ changes: this.changes, position: this.changes.length });
  }
}

interface Row {
  readonly title: string;
  /** Versions of the configuration that one watch returns; 0 for one that cannot be decoded. */
  readonly versions: readonly number[];
  /** Versions that the daemon tries to decode, in order. */
  readonly decoded: readonly number[];
  /** Version that is applied at the end; undefined for none. */
  readonly inForce: number | undefined;
}

const ROWS: readonly Row[] = [
  { title: 'a burst of changes', versions: [1, 2, 3, 4], decoded: [4], inForce: 4 },
  { title: 'one change', versions: [7], decoded: [7], inForce: 7 },
  {
    title: 'a last version that cannot be decoded',
    versions: [1, 2, 0],
    decoded: [0, 2],
    inForce: 2,
  },
  {
    title: 'no version that can be decoded',
    versions: [0, 0],
    decoded: [0, 0],
    inForce: undefined,
  },
];

ROWS.forEach(({ title, versions, decoded, inForce }) => {
  test(`versions that arrive together are decoded newest first until one is readable: ${title}`, async (t) => {
    const seen: number[] = [];
    const changes = versions.map((value, index) => ({ key: KEY, version: index + 1, value }));
    const adapter = {
      store: new BurstStore(changes),
      configurationKey: KEY,
      upstreamsPrefix: 'upstreams/',
      decodeConfiguration: (value: unknown) => {
        seen.push(value as number);
        return value === 0 ? Err('unreadable') : Ok(configuration(value as number));
      },
      decodeUpstream: () => Err('none'),
    } as unknown as PlatformAdapter;
    const sinks = { logger: pino({ level: 'silent' }), metrics: undefined };
    const recorder = new Recorder(newIncarnation('a'), new SystemClock(), sinks);
    const routingState = new RoutingState(adapter, recorder, new SteadyClock());
    routingState.start();
    t.teardown(() => routingState.stop());
    await waitFor('all versions are decoded', () => seen.length >= decoded.length);
    t.deepEqual(seen, [...decoded]);
    t.is(routingState.table?.configuration.version, inForce);
  });
});
