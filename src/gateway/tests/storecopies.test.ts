import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';
import { pino } from 'pino';

import type { ExecutionContext } from 'ava';
import { FaultyStore } from '../../../testbed/faultystore.js';
import { waitFor } from '../../../testbed/wait.js';
import { newIncarnation, Ok, SteadyClock, SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { RoutingState } from '../routingstate.js';

import type { PlatformAdapter } from '../adapter.js';
import type { UpstreamRecord } from '../upstreams.js';

const CONFIGURATION = 'configuration/current';
const UPSTREAM = 'upstreams/u1';

/** Time in which a follower has listed again after a rise, in milliseconds. */
const LISTED_MS = 600;

type Entry = 'serving' | 'leaving';

function record(id: string, entry: Entry): UpstreamRecord {
  return {
    id,
    startedAt: 1,
    service: 's',
    address: '127.0.0.1:1',
    dataCentre: 'x',
    capacity: 1,
    isLeaving: entry === 'leaving',
    warmupMs: 0,
  };
}

function adapterOf(store: FaultyStore): PlatformAdapter {
  const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return {
    store,
    configurationKey: CONFIGURATION,
    upstreamsPrefix: 'upstreams/',
    evacuationsPrefix: 'evacuations/',
    decodeConfiguration: (value: unknown) =>
      Ok({ version: value as number, routes: [], services: [], workspaces: undefined, limits }),
    decodeUpstream: (id: string, value: unknown) => Ok(record(id, value as Entry)),
  } as unknown as PlatformAdapter;
}

function startState(t: ExecutionContext, store: FaultyStore): RoutingState {
  const sinks = { logger: pino({ level: 'silent' }), metrics: undefined };
  const recorder = new Recorder(newIncarnation('a'), new SystemClock(), sinks);
  const state = new RoutingState(adapterOf(store), recorder, new SteadyClock(), 200);
  state.start();
  t.teardown(() => state.stop());
  return state;
}

async function put(store: FaultyStore, key: string, value: unknown): Promise<void> {
  const { version } = (await store.read(key)).unwrap();
  await store.write(key, value, version);
}

function serving({ upstreams }: RoutingState): readonly string[] {
  return upstreams.serving('s', performance.now()).map(({ id }) => id);
}

function versionOf({ table }: RoutingState): number {
  return table?.configuration.version ?? 0;
}

test('the configuration in force outlasts a copy with an older one, until a newer one is written', async (t) => {
  const store = new FaultyStore(() => 'answered');
  await put(store, CONFIGURATION, 3);
  const copy = store.copy();
  await put(store, CONFIGURATION, 5);
  const state = startState(t, store);
  await waitFor('version 5', () => versionOf(state) === 5);
  store.comeBack(copy);
  await delay(LISTED_MS);
  t.is(versionOf(state), 5);
  await put(store, CONFIGURATION, 5);
  await put(store, CONFIGURATION, 6);
  await waitFor('version 6', () => versionOf(state) === 6);
});

test('a daemon that starts on a copy is not loaded until it has the configuration of the others', async (t) => {
  const store = new FaultyStore(() => 'answered');
  await put(store, CONFIGURATION, 3);
  const copy = store.copy();
  await put(store, CONFIGURATION, 5);
  const first = startState(t, store);
  await waitFor('the first one is loaded', () => first.isLoaded);
  store.comeBack(copy);
  const late = startState(t, store);
  await waitFor('the late one has the copy', () => versionOf(late) === 3);
  late.hear(first.news);
  t.false(late.isLoaded);
  await put(store, CONFIGURATION, 5);
  await waitFor('the late one is loaded', () => late.isLoaded);
  t.is(versionOf(late), 5);
});

interface Row {
  readonly title: string;
  /** Entry of the upstream in the copy, and when the copy is lost; undefined for none. */
  readonly copied: Entry | undefined;
  readonly lost: Entry | undefined;
  /** What is written again; "nothing" leaves the copy as it is. */
  readonly again: Entry | undefined | 'nothing';
  /** Whether it serves soon after the drill. */
  readonly serves: boolean;
}

const ROWS: readonly Row[] = [
  {
    title: 'one that announced that it leaves gets nothing',
    copied: 'serving',
    lost: 'leaving',
    again: 'nothing',
    serves: false,
  },
  {
    title: 'one that has left gets nothing',
    copied: 'serving',
    lost: undefined,
    again: 'nothing',
    serves: false,
  },
  {
    title: 'one that has registered since is kept until it has had time to register again',
    copied: undefined,
    lost: 'serving',
    again: 'nothing',
    serves: true,
  },
  {
    title: 'one that registers again serves at once',
    copied: 'serving',
    lost: undefined,
    again: 'serving',
    serves: true,
  },
  {
    title: 'one that announces again that it leaves gets nothing',
    copied: 'serving',
    lost: 'leaving',
    again: 'leaving',
    serves: false,
  },
  {
    title: 'one that has not changed serves on',
    copied: 'serving',
    lost: 'serving',
    again: 'nothing',
    serves: true,
  },
];

ROWS.forEach(({ title, copied, lost, again, serves }) => {
  const setEntry = async (store: FaultyStore, entry: Entry | undefined): Promise<void> => {
    if (entry) await put(store, UPSTREAM, entry);
    else await store.remove(UPSTREAM);
  };

  /** Brings the store to the state before the drill; returns the copy. */
  const drill = async (t: ExecutionContext): Promise<[FaultyStore, RoutingState, () => void]> => {
    const store = new FaultyStore(() => 'answered');
    await put(store, CONFIGURATION, 1);
    if (copied) await setEntry(store, copied);
    const state = startState(t, store);
    await waitFor('loaded', () => state.isLoaded);
    const copy = store.copy();
    await setEntry(store, lost);
    // The listing of the removal: the in-memory store reports none.
    if (!lost) state.upstreams.unlist('u1', performance.now());
    else
      await waitFor('changed', () => state.upstreams.all()[0]?.isLeaving === (lost === 'leaving'));
    return [store, state, () => store.comeBack(copy)];
  };

  test(`an upstream over a drill: ${title}`, async (t) => {
    const [store, state, comeBack] = await drill(t);
    comeBack();
    if (again !== 'nothing') {
      await delay(LISTED_MS);
      await setEntry(store, again);
    }
    await delay(LISTED_MS);
    t.deepEqual(serving(state), serves ? ['u1'] : []);
  });

  test(`an upstream over a drill, at a daemon that starts after it: ${title}`, async (t) => {
    const [store, first, comeBack] = await drill(t);
    comeBack();
    await delay(LISTED_MS);
    const late = startState(t, store);
    late.hear(first.news);
    await waitFor('loaded', () => late.isLoaded);
    if (again !== 'nothing') await setEntry(store, again);
    await delay(LISTED_MS);
    // What only the others know to serve is not known here until it registers again.
    t.deepEqual(serving(late), serves && copied ? ['u1'] : []);
  });
});
