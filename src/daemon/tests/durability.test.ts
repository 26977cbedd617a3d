import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { callModel } from '../../../testbed/caller.js';
import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';
import { waitFor } from '../../../testbed/wait.js';
import { HOLD_CAUSES, shardSchema } from '../../budget/index.js';
import { instanceOf } from '../../kernel/index.js';

import type { ReceivedAnswer } from '../../../testbed/caller.js';
import type { HeldUnits, HolderEntry } from '../../budget/index.js';
import type { SettleHeldResult } from '../heldunits.js';

/** Longest wait for the recovery of a killed holder, in milliseconds. */
const TAKEOVER_TIMEOUT_MS = 20_000;

function sendRequest(
  fleet: Fleet,
  daemon: number,
  key: string,
  maxTokens = 4,
): Promise<ReceivedAnswer> {
  const { url } = fleet.daemon(daemon);
  return callModel({ url, apiKey: API_KEY, model: 'drafts', prompt: 'berths', maxTokens, key });
}

function holderEntries(fleet: Fleet): readonly HolderEntry[] {
  return fleet.store
    .keys('budgets/')
    .flatMap((key) => shardSchema.parse(fleet.store.peek(key)).holders);
}

function dispatchedCount(fleet: Fleet): number {
  return fleet.engines.reduce((sum, { counts }) => sum + counts.requests, 0);
}

function daemonIndex(fleet: Fleet, instance: string): number {
  return fleet.daemons.findIndex(({ options }) => options.name === instance);
}

test('a daemon that reaches neither a peer nor the store refuses requests', async (t) => {
  const fleet = await Fleet.start({ daemons: 1, units: 100_000 });
  t.teardown(() => fleet.stop());
  t.true((await sendRequest(fleet, 0, 'before')).isComplete);
  fleet.store.setFaults({ outage: true });
  await waitFor(
    'requests are refused',
    async () => !(await sendRequest(fleet, 0, 'probe')).isComplete,
  );
  const before = dispatchedCount(fleet);
  const refused = await sendRequest(fleet, 0, 'during');
  t.is(refused.code, 'no-durability');
  t.is(refused.outcome, 'not-run');
  t.is(dispatchedCount(fleet), before);
  fleet.store.setFaults({ outage: false });
  await waitFor(
    'requests are accepted again',
    async () => (await sendRequest(fleet, 0, 'after')).isComplete,
  );
});

test('a daemon with a backup serves requests during an outage of the store', async (t) => {
  const fleet = await Fleet.start({ daemons: 2, units: 100_000 });
  t.teardown(() => fleet.stop());
  t.true((await sendRequest(fleet, 0, 'before')).isComplete);
  fleet.store.setFaults({ outage: true });
  const during = await sendRequest(fleet, 0, 'during');
  t.true(during.isComplete);
  fleet.store.setFaults({ outage: false });
  await waitFor('the charge arrives', async () => {
    const lines = await fleet
      .daemon(1)
      .operator<readonly { key: string }[]>('workspaces/shop/statement');
    return lines.some(({ key }) => key === 'during');
  });
});

test('a killed backup is replaced in the shard entry', async (t) => {
  const fleet = await Fleet.start({ daemons: 3, units: 100_000 });
  t.teardown(() => fleet.stop());
  t.true((await sendRequest(fleet, 0, 'first')).isComplete);
  const isOwnEntry = ({ holder }: HolderEntry): boolean => instanceOf(holder) === 'entry-1';
  const backup = holderEntries(fleet).find(isOwnEntry)?.backup ?? '';
  fleet.daemon(daemonIndex(fleet, instanceOf(backup))).child.signal('SIGKILL');
  await waitFor('another backup is recorded', () => {
    const now = holderEntries(fleet).find(isOwnEntry)?.backup;
    return now !== undefined && now !== null && now !== backup;
  });
  t.true((await sendRequest(fleet, 0, 'second')).isComplete);
});

test('units of open requests of a killed holder stay held until an operator settles them, once', async (t) => {
  const fleet = await Fleet.start({ daemons: 3, units: 100_000, tokenMs: 50 });
  t.teardown(() => fleet.stop());
  const cut = sendRequest(fleet, 0, 'open', 200);
  await waitFor('the request streams', () => dispatchedCount(fleet) > 0);
  fleet.daemon(0).child.signal('SIGKILL');
  t.false((await cut).isComplete);
  const read = (): Promise<readonly HeldUnits[]> =>
    fleet.daemon(1).operator<readonly HeldUnits[]>('held');
  await waitFor(
    'the holder is recovered',
    async () => (await read())[0]?.state === 'ended',
    TAKEOVER_TIMEOUT_MS,
  );
  const [held] = await read();
  t.is(held?.cause, HOLD_CAUSES.open);
  t.true((held?.units ?? 0) >= 200);
  const before = await fleet.budget(1);
  const order = { holder: held?.holder ?? '', budget: 'main', operation: 'settle-1' };
  const first = await fleet.daemon(1).order<SettleHeldResult>('held', order);
  const again = await fleet.daemon(2).order<SettleHeldResult>('held', order);
  t.deepEqual(first, { units: held?.units ?? 0, repeated: false });
  t.deepEqual(again, { units: held?.units ?? 0, repeated: true });
  t.is((await fleet.budget(1)).left, before.left + (held?.units ?? 0));
  await waitFor('nothing is held', async () => (await read()).length === 0);
  await waitFor(
    'the entry is closed',
    () => !holderEntries(fleet).some(({ holder }) => holder === held?.holder),
  );
});

test('units of a holder stay held when its backup is killed with it', async (t) => {
  const fleet = await Fleet.start({ daemons: 3, units: 100_000 });
  t.teardown(() => fleet.stop());
  t.true((await sendRequest(fleet, 0, 'first')).isComplete);
  const [entry] = holderEntries(fleet);
  const backup = daemonIndex(fleet, instanceOf(entry?.backup ?? ''));
  const reader = [1, 2].find((index) => index !== backup) ?? 1;
  const granted = await fleet.budget(reader);
  fleet.daemon(0).child.signal('SIGKILL');
  fleet.daemon(backup).child.signal('SIGKILL');
  const read = (): Promise<readonly HeldUnits[]> =>
    fleet.daemon(reader).operator<readonly HeldUnits[]>('held');
  await waitFor('the units are held', async () => (await read()).length > 0, TAKEOVER_TIMEOUT_MS);
  const [held] = await read();
  t.is(held?.state, 'active');
  t.is(held?.cause, HOLD_CAUSES.fencing);
  t.is((await fleet.budget(reader)).left, granted.left);
});

test('a holder that stops gracefully leaves no held units', async (t) => {
  const fleet = await Fleet.start({ daemons: 2, units: 100_000 });
  t.teardown(() => fleet.stop());
  t.true((await sendRequest(fleet, 0, 'first')).isComplete);
  fleet.daemon(0).child.signal('SIGTERM');
  t.is(await fleet.daemon(0).child.ended(), 0);
  const budget = await fleet.budget(1);
  t.is(budget.left + budget.spent, 100_000);
  t.deepEqual(await fleet.daemon(1).operator<readonly HeldUnits[]>('held'), []);
});

test('a cut-off data centre keeps serving, ends no holder, and is billed exactly once', async (t) => {
  const cutOff = ['entry-3', 'entry-6'];
  const fleet = await Fleet.start({ daemons: 6, units: 1_000_000, partitionedDaemons: cutOff });
  t.teardown(() => fleet.stop());
  const run = async (prefix: string, count: number): Promise<readonly ReceivedAnswer[]> => {
    const answers: ReceivedAnswer[] = [];
    for (let index = 0; index < count; index += 1) {
      // Sequential, so that no request runs while the partition changes.
      // eslint-disable-next-line no-await-in-loop
      answers.push(await sendRequest(fleet, index % 2 === 0 ? 2 : 5, `${prefix}-${index}`));
    }
    return answers;
  };
  const before = await run('before', 6);
  t.true(before.every(({ isComplete: whole }) => whole));
  await delay(2_000);
  fleet.setPartition('cut');
  const during = await run('during', 40);
  t.deepEqual(
    during.filter(({ isComplete: whole }) => !whole).map(({ key, code }) => ({ key, code })),
    [],
  );
  await delay(8_000);
  const late = await run('late', 10);
  fleet.setPartition('pass');
  const keys = [...before, ...during, ...late]
    .filter(({ isComplete: whole }) => whole)
    .map(({ key }) => key);
  await waitFor('every charge arrives exactly once', async () => {
    const lines = await fleet
      .daemon(0)
      .operator<readonly { key: string }[]>('workspaces/shop/statement');
    return (
      lines
        .map(({ key }) => key)
        .sort()
        .join() === [...keys].sort().join()
    );
  });
  t.deepEqual(
    late.filter(({ isComplete: whole }) => !whole).map(({ key, code }) => ({ key, code })),
    [],
  );
  t.true(fleet.daemon(2).child.running && fleet.daemon(5).child.running);
  t.deepEqual(await fleet.daemon(0).operator<readonly HeldUnits[]>('held'), []);
});
