import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import type { ExecutionContext } from 'ava';
import { makeRecorder } from '../../daemon/daemonrecorder.js';
import { FaultyStore } from '../../../testbed/faultystore.js';
import { freePort } from '../../../testbed/ports.js';
import { RawUpstream } from '../../../testbed/rawupstream.js';
import { waitFor } from '../../../testbed/wait.js';
import { Ok } from '../../kernel/index.js';
import { UpstreamStats } from '../../route/index.js';
import { UpstreamConnections } from '../connections.js';
import { CrashWatch } from '../crashwatch.js';
import { GatewayMetrics } from '../metrics.js';

import type { CallOutcome } from '../../../testbed/faultystore.js';
import type { ObjectChange, SnapshotStore, StoreError, WatchBatch } from '../../store/index.js';
import type { KnownUpstream } from '../upstreampool.js';
import type { Clock, Result } from '../../kernel/index.js';

/** Time after which a trial is due, in milliseconds. */
const TRIAL_MS = 15_000;

/** Time until a crash is confirmed and shared with another daemon, in milliseconds. */
const SHARED_MS = 3_000;

/** Time between two crashes, less than the time until the first is shared, in milliseconds. */
const BETWEEN_CRASHES_MS = 800;

/** Time until another daemon has read what is written at once, in milliseconds. */
const AT_ONCE_MS = 450;

/** Time for which an idle watch waits, in milliseconds. */
const IDLE_WATCH_MS = 50;

/** A fleet with one store and one clock. */
interface Fleet {
  readonly watches: readonly CrashWatch[];
  /** Advances the clock, by milliseconds. */
  readonly skip: (ms: number) => void;
  /** How the store answers. */
  readonly store: { outcome: CallOutcome };
  /** The store itself. */
  readonly objects: FaultyStore;
  readonly add: () => CrashWatch;
}

function startWatch(t: ExecutionContext, store: SnapshotStore, clock: Clock): CrashWatch {
  const recorder = makeRecorder({ instance: 'e1', dataCentre: 'a', logLevel: 'silent' });
  const metrics = new GatewayMetrics();
  const watch = new CrashWatch({ store, recorder, metrics, clock, random: () => 0.5 });
  watch.start();
  t.teardown(() => watch.stop());
  return watch;
}

function startFleet(t: ExecutionContext, size: number): Fleet {
  const outcomes: { outcome: CallOutcome } = { outcome: 'answered' };
  const store = new FaultyStore(() => outcomes.outcome);
  let skippedMs = 0;
  const clock = { now: () => performance.now() + skippedMs };
  const skip = (ms: number): void => {
    skippedMs += ms;
  };
  const add = (): CrashWatch => startWatch(t, store, clock);
  return { watches: Array.from({ length: size }, add), skip, store: outcomes, objects: store, add };
}

function upstreamAt(id: string, address: string): KnownUpstream {
  const record = { id, startedAt: 1, address, service: 's', dataCentre: 'a', capacity: 1 };
  return {
    record: { ...record, isLeaving: false, warmupMs: 0 },
    seed: 0,
    stats: new UpstreamStats(),
    connections: new UpstreamConnections(address),
  };
}

/** Returns an upstream that nothing listens for. */
async function goneUpstream(id: string): Promise<KnownUpstream> {
  return upstreamAt(id, `127.0.0.1:${await freePort()}`);
}

/** Lets each of the first two daemons see one crash, long after each other. */
async function crashTwice({ watches, skip }: Fleet): Promise<void> {
  const [first = watches[0], second = first] = watches;
  first?.noteLost(await goneUpstream('u1'), ['a', 'x'], 0);
  skip(2_000);
  second?.noteLost(await goneUpstream('u2'), ['b', 'x'], 0);
}

const isRejecting = (watch: CrashWatch | undefined): boolean =>
  watch?.rejectionOf(['x'])?.code === 'prompt-rejected';

test('crashes that two daemons see one each reject a part at all daemons, also at one that starts later', async (t) => {
  const fleet = startFleet(t, 3);
  await crashTwice(fleet);
  await waitFor('rejections', () => fleet.watches.every(isRejecting), SHARED_MS);
  const late = fleet.add();
  await waitFor('rejection at the new daemon', () => isRejecting(late), SHARED_MS);
  t.is(late.rejectionOf(['a']), undefined);
});

test('a part stays rejected when the store comes back from a copy without the crashes, also at a daemon that starts then', async (t) => {
  const fleet = startFleet(t, 3);
  const empty = fleet.objects.copy();
  await crashTwice(fleet);
  await waitFor('rejections', () => fleet.watches.every(isRejecting), SHARED_MS);
  fleet.objects.comeBack(empty);
  const late = fleet.add();
  await waitFor('rejection at the new daemon', () => isRejecting(late), SHARED_MS);
  t.true(fleet.watches.every(isRejecting));
});

test('of all daemons that have a request for a trial, one sends it, and its answer clears the part everywhere', async (t) => {
  const fleet = startFleet(t, 3);
  await crashTwice(fleet);
  await waitFor('rejections', () => fleet.watches.every(isRejecting), SHARED_MS);
  const { skip, watches } = fleet;
  skip(TRIAL_MS);
  const refusals = await Promise.all(watches.map((watch, at) => watch.admit(['x'], `r${at}`)));
  const claimed = refusals.flatMap((refusal, at) => (refusal === undefined ? [at] : []));
  t.is(claimed.length, 1);
  t.true(watches.every(isRejecting));
  watches[claimed[0] ?? 0]?.noteAnswer(['x']);
  await waitFor('clearance', () => !watches.some(isRejecting), SHARED_MS);
  t.pass();
});

test('while the store is away, a daemon goes by its own crashes and sends no trial', async (t) => {
  const fleet = startFleet(t, 1);
  fleet.store.outcome = 'refused';
  await crashTwice(fleet);
  const [watch] = fleet.watches;
  await waitFor('rejection', () => isRejecting(watch), SHARED_MS);
  fleet.skip(TRIAL_MS);
  t.is((await watch?.admit(['x'], 'r'))?.code, 'prompt-rejected');
});

test('after a claim that failed, requests with a rejected part are refused without a call to the store', async (t) => {
  const fleet = startFleet(t, 1);
  fleet.store.outcome = 'refused';
  await crashTwice(fleet);
  const [watch] = fleet.watches;
  await waitFor('rejection', () => isRejecting(watch), SHARED_MS);
  fleet.skip(TRIAL_MS);
  await watch?.admit(['x'], 'r1');
  const second = watch?.admit(['x'], 'r2');
  t.false(second instanceof Promise);
  t.is((await second)?.code, 'prompt-rejected');
});

test('a daemon whose unshared crash rejects a part together with a reported one shares it at once', async (t) => {
  const { watches } = startFleet(t, 3);
  const [first, second, third] = watches;
  first?.noteLost(await goneUpstream('u1'), ['x'], 0);
  await delay(BETWEEN_CRASHES_MS);
  second?.noteLost(await goneUpstream('u2'), ['x'], 0);
  await waitFor('rejection', () => isRejecting(second), SHARED_MS);
  await waitFor('rejection at another daemon', () => isRejecting(third), AT_ONCE_MS);
  t.pass();
});

test('crashes that could not be shared are shared once the store answers again', async (t) => {
  const fleet = startFleet(t, 2);
  fleet.store.outcome = 'refused';
  const [watch, other] = fleet.watches;
  watch?.noteLost(await goneUpstream('u1'), ['x'], 0);
  fleet.skip(2_000);
  watch?.noteLost(await goneUpstream('u2'), ['x'], 0);
  await waitFor('rejection', () => isRejecting(watch), SHARED_MS);
  fleet.store.outcome = 'answered';
  await waitFor('rejection at the other daemon', () => isRejecting(other));
  t.pass();
});

test('an upstream that still listens has not crashed', async (t) => {
  const upstream = await RawUpstream.start([], 'id');
  t.teardown(() => upstream.stop());
  const fleet = startFleet(t, 1);
  const [watch] = fleet.watches;
  ['u1', 'u2', 'u3'].forEach((id) => {
    fleet.skip(2_000);
    watch?.noteLost(upstreamAt(id, upstream.address), ['x'], 0);
  });
  await waitFor('probes', () => upstream.connections === 0, SHARED_MS);
  fleet.skip(2_000);
  t.is(watch?.noteLost(await goneUpstream('u4'), ['x'], 0), undefined, 'nothing was suspected');
});

/** Stored record of crashes with the part "x". */
function recordOf(upstreams: readonly string[]): unknown {
  const prompts = [{ parts: ['x'], sentAgeMs: 5_000 }];
  const reports = upstreams.map((upstream, at) => ({
    upstream,
    ageMs: 4_000 - at * 2_000,
    prompts,
  }));
  return { reports: reports.map((report) => ({ ...report, popular: [] })), trials: {} };
}

/** Store whose first watch returns two versions of the record. */
class TwoVersionsStore extends FaultyStore {
  #changes: readonly ObjectChange[] = [['u1'], ['u1', 'u2']].map((upstreams, at) => ({
    key: 'suspects/parts',
    version: at + 1,
    value: recordOf(upstreams),
  }));

  override async watch(): Promise<Result<WatchBatch, StoreError>> {
    const changes = this.#changes;
    this.#changes = [];
    if (changes.length === 0) await delay(IDLE_WATCH_MS);
    return Ok({ changes, position: 2 });
  }
}

test('of several versions of the record that arrive together, the newest is applied', async (t) => {
  const watch = startWatch(t, new TwoVersionsStore(() => 'answered'), performance);
  await waitFor('rejection', () => isRejecting(watch), SHARED_MS);
  t.pass();
});

test('a change of another object below the prefix leaves the rejections in force', async (t) => {
  const fleet = startFleet(t, 2);
  await crashTwice(fleet);
  await waitFor('rejections', () => fleet.watches.every(isRejecting), SHARED_MS);
  (await fleet.objects.write('suspects/other', {}, 0)).unwrap();
  await delay(AT_ONCE_MS);
  t.true(fleet.watches.every(isRejecting));
});

test('a malformed record does not clear the rejections of running daemons', async (t) => {
  const fleet = startFleet(t, 2);
  await crashTwice(fleet);
  await waitFor('rejections', () => fleet.watches.every(isRejecting), SHARED_MS);
  const { version } = (await fleet.objects.read('suspects/parts')).unwrap();
  (await fleet.objects.write('suspects/parts', { reports: 'x' }, version)).unwrap();
  await delay(AT_ONCE_MS);
  t.true(fleet.watches.every(isRejecting));
});
