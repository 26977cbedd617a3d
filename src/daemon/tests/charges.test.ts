import test from 'ava';

import { StatsD } from 'hot-shots';
import { pino } from 'pino';

import { LocalNetwork } from '../../../testbed/localnetwork.js';
import { MemoryStore } from '../../../testbed/memorystore.js';
import { claimRecovery, parseShard, shardKey, topUp } from '../../budget/index.js';
import { WINDOW_UNITS } from '../../fleet/index.js';
import { SystemClock } from '../../kernel/index.js';
import { updateObject } from '../../store/index.js';
import { Recorder } from '../../telemetry/index.js';
import { Backups } from '../backups.js';
import { Charges } from '../charges.js';

import type { BudgetShard } from '../../budget/index.js';
import type { Charge } from '../../fleet/index.js';

const SELF = 'entry~1';
const WAIT_MS = 50;

interface Fixture {
  readonly store: MemoryStore;
  readonly network: LocalNetwork;
  readonly peer: Backups;
  readonly charges: Charges;
  readonly fenced: string[];
}

function recorder(): Recorder {
  const logger = pino({ level: 'silent' });
  return new Recorder(SELF, new SystemClock(), { logger, metrics: new StatsD({ mock: true }) });
}

async function makeFixture(maxLines = 100): Promise<Fixture> {
  const store = new MemoryStore();
  const network = new LocalNetwork(SELF, 'dc-1', 1);
  const far = new LocalNetwork('peer~1', 'dc-2', 1);
  const peer = new Backups('peer~1', 'dc-2', far);
  network.connect(far);
  const fenced: string[] = [];
  const charges = new Charges({
    self: SELF,
    store,
    backups: new Backups(SELF, 'dc-1', network),
    config: { current: undefined },
    recorder: recorder(),
    maxLines,
    onFenced: (detail) => fenced.push(detail),
  });
  const payment = { budget: 'b', workspace: 'w', operation: 'op', units: 1_000_000, at: 1 };
  const kind = { key: shardKey(0), parse: parseShard };
  await updateObject(store, kind, (value) => topUp(value, payment));
  await charges.join('b');
  return { store, network, peer, charges, fenced };
}

function charge(key: string): Charge {
  return { key, workspace: 'w', budget: 'b', units: 5 };
}

function readShard({ store }: Fixture): BudgetShard {
  return parseShard(store.peek(shardKey(0)) ?? null);
}

const RESERVATION = { budget: 'b', units: 10 };

test('sends the charges of one event loop turn to the backup in one message', async (t) => {
  const { network, charges } = await makeFixture();
  await charges.maintainReplicas();
  network.sent.length = 0;
  const kept = await Promise.all(['a', 'b', 'c'].map((key) => charges.record(charge(key), 0)));
  t.deepEqual(kept, [true, true, true]);
  t.deepEqual(network.sent, ['copy-lines']);
});

test('neither loses nor duplicates lines when answers of the store are lost', async (t) => {
  const fixture = await makeFixture();
  await fixture.charges.maintainReplicas();
  await fixture.charges.record(charge('a'), 0);
  fixture.store.mode = 'loses-answers';
  t.false(await fixture.charges.flush());
  await fixture.charges.record(charge('b'), 0);
  fixture.store.mode = 'answers';
  t.true(await fixture.charges.flush());
  t.is(readShard(fixture).budgets[0]?.rows[0]?.spent, 10);
  t.is(readShard(fixture).holders[0]?.settled, 2);
});

test('refuses reservations while the number of unsettled lines is at its limit', async (t) => {
  const fixture = await makeFixture(2);
  await fixture.charges.maintainReplicas();
  fixture.store.mode = 'away';
  await Promise.all(['a', 'b'].map((key) => fixture.charges.record(charge(key), 0)));
  t.false(await fixture.charges.registerReservation(RESERVATION, WAIT_MS));
  fixture.store.mode = 'answers';
  t.true(await fixture.charges.flush());
  t.true(await fixture.charges.registerReservation(RESERVATION, WAIT_MS));
});

test('refuses reservations while neither the backup nor the store answers', async (t) => {
  const fixture = await makeFixture();
  await fixture.charges.maintainReplicas();
  t.true(await fixture.charges.registerReservation(RESERVATION, WAIT_MS));
  fixture.store.mode = 'away';
  fixture.network.isIsolated = true;
  await fixture.charges.maintainReplicas();
  t.false(await fixture.charges.registerReservation(RESERVATION, WAIT_MS));
  fixture.network.isIsolated = false;
  await fixture.charges.maintainReplicas();
  t.true(await fixture.charges.registerReservation(RESERVATION, WAIT_MS));
});

test('refuses reservations until the holder has an entry in the shard', async (t) => {
  const fixture = await makeFixture();
  const charges = new Charges({
    self: 'late~1',
    store: fixture.store,
    backups: new Backups('late~1', 'dc-1', fixture.network),
    config: { current: undefined },
    recorder: recorder(),
    onFenced: (detail) => fixture.fenced.push(detail),
  });
  fixture.store.mode = 'away';
  t.false(await charges.registerReservation(RESERVATION, WAIT_MS));
  fixture.store.mode = 'answers';
  t.true(await charges.registerReservation(RESERVATION, WAIT_MS));
  t.deepEqual(fixture.fenced, []);
});

test('a reservation beyond the window waits for the acknowledgement of the backup', async (t) => {
  const fixture = await makeFixture();
  await fixture.charges.maintainReplicas();
  fixture.network.sent.length = 0;
  t.true(
    await fixture.charges.registerReservation({ budget: 'b', units: WINDOW_UNITS + 1 }, 1_000),
  );
  t.deepEqual(fixture.network.sent, ['copy-lines']);
  fixture.network.isIsolated = true;
  t.false(
    await fixture.charges.registerReservation({ budget: 'b', units: WINDOW_UNITS + 1 }, WAIT_MS),
  );
});

test('a holder that another daemon recovers refuses charges and reservations', async (t) => {
  const fixture = await makeFixture();
  await fixture.charges.maintainReplicas();
  t.is(readShard(fixture).holders[0]?.backup, 'peer~1');
  await fixture.charges.record(charge('a'), 0);
  const kind = { key: shardKey(0), parse: parseShard };
  await updateObject(fixture.store, kind, (value) => claimRecovery(value, SELF, 'peer~1'));
  const handover = fixture.peer.fenceLocally(SELF, 0, false);
  t.deepEqual(
    handover.lines.map(({ key }) => key),
    ['a'],
  );
  t.false(await fixture.charges.record(charge('b'), 0));
  t.is(fixture.fenced.length, 1);
  t.false(await fixture.charges.registerReservation(RESERVATION, WAIT_MS));
});

test('a holder cut off from its backup continues with its standby while the store is unreachable', async (t) => {
  const fixture = await makeFixture();
  const near = new LocalNetwork('near~1', 'dc-1', 1);
  const standby = new Backups('near~1', 'dc-1', near);
  fixture.network.connect(near);
  await fixture.charges.maintainReplicas();
  const { backup, standby: recorded } = readShard(fixture).holders[0] ?? {};
  t.deepEqual({ backup, recorded }, { backup: 'peer~1', recorded: 'near~1' });
  t.true(await fixture.charges.record(charge('a'), 0));
  fixture.store.mode = 'away';
  fixture.network.blockedPeers.add('peer');
  t.true(await fixture.charges.registerReservation(RESERVATION, 1_000));
  t.true(await fixture.charges.record(charge('b'), 10));
  await fixture.charges.maintainReplicas();
  t.true(await fixture.charges.registerReservation(RESERVATION, WAIT_MS));
  const kept = (backups: Backups): readonly string[] =>
    backups.fenceLocally(SELF, 0, false).lines.map(({ key }) => key);
  t.deepEqual(kept(standby), ['a', 'b']);
  t.deepEqual(kept(fixture.peer), ['a']);
});

test('a replica check while the holder is joining does not fence it', async (t) => {
  const fixture = await makeFixture();
  const late = new LocalNetwork('late~1', 'dc-1', 1);
  late.connect(fixture.network);
  const fenced: string[] = [];
  const charges = new Charges({
    self: 'late~1',
    store: fixture.store,
    backups: new Backups('late~1', 'dc-1', late),
    config: { current: undefined },
    recorder: recorder(),
    onFenced: (detail) => fenced.push(detail),
  });
  fixture.store.nextWriteDelayMs = 500;
  const joining = charges.join('b');
  await charges.maintainReplicas();
  t.true(await joining);
  t.deepEqual(fenced, []);
  t.true(await charges.registerReservation(RESERVATION, WAIT_MS));
});
