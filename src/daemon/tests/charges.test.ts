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

interface Bed {
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

async function makeBed(maxLines = 100): Promise<Bed> {
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

function shard({ store }: Bed): BudgetShard {
  return parseShard(store.peek(shardKey(0)) ?? null);
}

const RESERVATION = { budget: 'b', units: 10 };

test('charges of one turn travel to the backup in one message', async (t) => {
  const { network, charges } = await makeBed();
  await charges.care();
  network.sent.length = 0;
  const kept = await Promise.all(['a', 'b', 'c'].map((key) => charges.record(charge(key), 0)));
  t.deepEqual(kept, [true, true, true]);
  t.deepEqual(network.sent, ['copy-lines']);
});

test('a lost answer of the store neither loses nor repeats a line', async (t) => {
  const bed = await makeBed();
  await bed.charges.care();
  await bed.charges.record(charge('a'), 0);
  bed.store.mode = 'loses-answers';
  t.false(await bed.charges.flush());
  await bed.charges.record(charge('b'), 0);
  bed.store.mode = 'answers';
  t.true(await bed.charges.flush());
  t.is(shard(bed).budgets[0]?.rows[0]?.spent, 10);
  t.is(shard(bed).holders[0]?.settled, 2);
});

test('new work is refused while as many lines wait as may', async (t) => {
  const bed = await makeBed(2);
  await bed.charges.care();
  bed.store.mode = 'away';
  await Promise.all(['a', 'b'].map((key) => bed.charges.record(charge(key), 0)));
  t.false(await bed.charges.admit(RESERVATION, WAIT_MS));
  bed.store.mode = 'answers';
  t.true(await bed.charges.flush());
  t.true(await bed.charges.admit(RESERVATION, WAIT_MS));
});

test('new work is refused while neither the backup nor the store answers', async (t) => {
  const bed = await makeBed();
  await bed.charges.care();
  t.true(await bed.charges.admit(RESERVATION, WAIT_MS));
  bed.store.mode = 'away';
  bed.network.isCut = true;
  await bed.charges.care();
  t.false(await bed.charges.admit(RESERVATION, WAIT_MS));
  bed.network.isCut = false;
  await bed.charges.care();
  t.true(await bed.charges.admit(RESERVATION, WAIT_MS));
});

test('a daemon without an entry takes no new work, also with lent units', async (t) => {
  const bed = await makeBed();
  const charges = new Charges({
    self: 'late~1',
    store: bed.store,
    backups: new Backups('late~1', 'dc-1', bed.network),
    config: { current: undefined },
    recorder: recorder(),
    onFenced: (detail) => bed.fenced.push(detail),
  });
  bed.store.mode = 'away';
  t.false(await charges.admit(RESERVATION, WAIT_MS));
  bed.store.mode = 'answers';
  t.true(await charges.admit(RESERVATION, WAIT_MS));
  t.deepEqual(bed.fenced, []);
});

test('a reservation beyond the window waits until the backup knows of it', async (t) => {
  const bed = await makeBed();
  await bed.charges.care();
  bed.network.sent.length = 0;
  t.true(await bed.charges.admit({ budget: 'b', units: WINDOW_UNITS + 1 }, 1_000));
  t.deepEqual(bed.network.sent, ['copy-lines']);
  bed.network.isCut = true;
  t.false(await bed.charges.admit({ budget: 'b', units: WINDOW_UNITS + 1 }, WAIT_MS));
});

test('a holder that is recovered by another takes no new work', async (t) => {
  const bed = await makeBed();
  await bed.charges.care();
  t.is(shard(bed).holders[0]?.backup, 'peer~1');
  await bed.charges.record(charge('a'), 0);
  const kind = { key: shardKey(0), parse: parseShard };
  await updateObject(bed.store, kind, (value) => claimRecovery(value, SELF, 'peer~1'));
  const handover = bed.peer.fenceHere(SELF, 0, false);
  t.deepEqual(
    handover.lines.map(({ key }) => key),
    ['a'],
  );
  t.false(await bed.charges.record(charge('b'), 0));
  t.is(bed.fenced.length, 1);
  t.false(await bed.charges.admit(RESERVATION, WAIT_MS));
});

test('cut off with its standby, a holder goes on while the store is away', async (t) => {
  const bed = await makeBed();
  const near = new LocalNetwork('near~1', 'dc-1', 1);
  const standby = new Backups('near~1', 'dc-1', near);
  bed.network.connect(near);
  await bed.charges.care();
  const { backup, standby: recorded } = shard(bed).holders[0] ?? {};
  t.deepEqual({ backup, recorded }, { backup: 'peer~1', recorded: 'near~1' });
  t.true(await bed.charges.record(charge('a'), 0));
  bed.store.mode = 'away';
  bed.network.cutOff.add('peer');
  t.true(await bed.charges.admit(RESERVATION, 1_000));
  t.true(await bed.charges.record(charge('b'), 10));
  await bed.charges.care();
  t.true(await bed.charges.admit(RESERVATION, WAIT_MS));
  const kept = (backups: Backups): readonly string[] =>
    backups.fenceHere(SELF, 0, false).lines.map(({ key }) => key);
  t.deepEqual(kept(standby), ['a', 'b']);
  t.deepEqual(kept(bed.peer), ['a']);
});

test('looking after the backups while a holder still joins does not fence it', async (t) => {
  const bed = await makeBed();
  const late = new LocalNetwork('late~1', 'dc-1', 1);
  late.connect(bed.network);
  const fenced: string[] = [];
  const charges = new Charges({
    self: 'late~1',
    store: bed.store,
    backups: new Backups('late~1', 'dc-1', late),
    config: { current: undefined },
    recorder: recorder(),
    onFenced: (detail) => fenced.push(detail),
  });
  bed.store.nextWriteMs = 500;
  const joining = charges.join('b');
  await charges.care();
  t.true(await joining);
  t.deepEqual(fenced, []);
  t.true(await charges.admit(RESERVATION, WAIT_MS));
});
