import test from 'ava';

import { StatsD } from 'hot-shots';
import { pino } from 'pino';

import { LocalNetwork } from '../../../testbed/localnetwork.js';
import { MemoryStore } from '../../../testbed/memorystore.js';
import { parseShard, shardKey, topUp } from '../../budget/index.js';
import { SystemClock } from '../../kernel/index.js';
import { updateObject } from '../../store/index.js';
import { Recorder } from '../../telemetry/index.js';
import { Backups } from '../backups.js';
import { Charges } from '../charges.js';

import type { Charge } from '../../fleet/index.js';
import type { StoredObject } from '../../store/index.js';

const SELF = 'entry~1';

interface Drill {
  readonly store: MemoryStore;
  readonly charges: Charges;
  readonly fenced: readonly string[];
  /** The store before the holder joined, and after it. */
  readonly copies: {
    readonly paid: readonly StoredObject[];
    readonly joined: readonly StoredObject[];
  };
}

async function start(): Promise<Drill> {
  const store = new MemoryStore();
  const network = new LocalNetwork(SELF, 'dc-1', 1);
  const far = new LocalNetwork('peer~1', 'dc-2', 1);
  const peer = new Backups('peer~1', 'dc-2', far);
  network.connect(far);
  const fenced: string[] = [];
  const logger = pino({ level: 'silent' });
  const charges = new Charges({
    self: SELF,
    store,
    backups: new Backups(SELF, 'dc-1', network),
    config: { current: undefined },
    recorder: new Recorder(SELF, new SystemClock(), {
      logger,
      metrics: new StatsD({ mock: true }),
    }),
    maxLines: 100,
    onFenced: (detail) => fenced.push(detail),
  });
  const payment = { budget: 'b', workspace: 'w', operation: 'op', units: 1_000_000, at: 1 };
  const kind = { key: shardKey(0), parse: parseShard };
  await updateObject(store, kind, (value) => topUp(value, payment));
  const paid = store.copy();
  await charges.join('b');
  await charges.maintainReplicas();
  void peer;
  return { store, charges, fenced, copies: { paid, joined: store.copy() } };
}

function charge(key: string): Charge {
  return { key, workspace: 'w', budget: 'b', units: 5 };
}

function spentIn(store: MemoryStore): number {
  const { budgets } = parseShard(store.peek(shardKey(0)) ?? null);
  return budgets[0]?.rows[0]?.spent ?? 0;
}

test('a holder whose entry the copy lacks is not fenced', async (t) => {
  const { store, charges, fenced, copies } = await start();
  await charges.record(charge('a'), 0);
  store.comeBack(copies.paid);
  await charges.flush();
  t.deepEqual(fenced, []);
});

test('charges that were delivered in the lost seconds are delivered again', async (t) => {
  const { store, charges, copies } = await start();
  await charges.record(charge('a'), 0);
  t.true(await charges.flush());
  t.is(spentIn(store), 5);
  store.comeBack(copies.joined);
  await charges.record(charge('b'), 0);
  await charges.flush();
  t.is(spentIn(store), 10);
});
