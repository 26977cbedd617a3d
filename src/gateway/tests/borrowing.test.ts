import { setImmediate, setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { AllowanceFleet, WORKSPACE } from '../../../testbed/allowancefleet.js';
import { waitFor } from '../../../testbed/wait.js';
import { parseAllowances } from '../../allowance/index.js';
import { instanceOf } from '../../kernel/index.js';

import type { FaultyStore } from '../../../testbed/faultystore.js';

/**
 * Wait for the reply of a peer, in milliseconds: so long that a busy machine does not delay a reply beyond it, after which
 * a borrower draws a row of its own.
 */
const PEER_WAIT_MS = 5_000;

/** Five daemons in one data centre, one of which is the holder of the workspace. */
const SHAPE = {
  dataCentres: ['x'],
  perDataCentre: 5,
  paid: 10_000,
  peerWaitMs: PEER_WAIT_MS,
} as const;

async function rowsOf(store: FaultyStore): Promise<readonly string[]> {
  const { value } = (await store.read('allowances/shard-0')).unwrap();
  return parseAllowances(value).rows.map(({ holder }) => instanceOf(holder));
}

const ROWS = [
  { title: 'less than is available', units: 400, ok: true },
  { title: 'more than is available: the holder draws first', units: 4_000, ok: true },
  { title: 'more than was paid', units: 12_000, ok: false },
] as const;

ROWS.forEach(({ title, units, ok }) => {
  test(`a daemon that is no holder borrows ${title}`, async (t) => {
    const { store, members } = new AllowanceFleet(SHAPE);
    const daemons = [...members.values()];
    const holder = daemons.find(({ holders }) => holders.isHolder(WORKSPACE));
    const borrower = daemons.find(({ holders }) => !holders.isHolder(WORKSPACE));
    daemons.forEach(({ allowances }) => allowances.refresh());
    const reserved = await borrower?.allowances.reserve(WORKSPACE, units, 200);
    t.is(reserved?.ok, ok);
    t.deepEqual(await rowsOf(store), [holder?.name]);
    if (reserved?.err) t.is(reserved.val.code, 'budget-exhausted');
  });
});

test('a caller that disconnects ends the search for its units', async (t) => {
  const fleet = new AllowanceFleet({
    dataCentres: ['x', 'y', 'z'],
    perDataCentre: 5,
    paid: 10_000,
    peerWaitMs: 200,
  });
  const borrower = [...fleet.members.values()].find(({ holders }) => !holders.isHolder(WORKSPACE));
  if (!borrower) throw new Error('no daemon is a borrower');
  // No holder replies within the wait for it: with the caller still there, all three would be asked in turn.
  fleet.delay(1_000);
  const caller = new AbortController();
  const reserving = borrower.allowances.reserve(WORKSPACE, 400, 2_000, caller.signal);
  await delay(20);
  caller.abort();
  // The wait ends in the same turn of the event loop, whatever else the machine does.
  const isRefused = reserving.then(({ err }) => err);
  t.true(await Promise.race([isRefused, setImmediate(false)]));
  const rounds = (): readonly unknown[] =>
    borrower.recorder.timeline
      .list()
      .filter(({ name }) => name === 'allowanceBorrowed')
      .map(({ subject }) => subject.facts?.asked);
  await waitFor('the round of borrowing ends', () => rounds().length > 0);
  t.deepEqual(rounds(), [1]);
});

const SHORTAGES = [
  {
    title: 'another large request is refused without a message',
    units: 5_000,
    waitMs: 0,
    rounds: 1,
  },
  { title: 'a request that the rest covers is served', units: 100, waitMs: 0, rounds: 1 },
  { title: 'the holders are asked again later', units: 5_000, waitMs: 300, rounds: 2 },
] as const;

SHORTAGES.forEach(({ title, units, waitMs, rounds }) => {
  test(`after all holders were found short while the store is away: ${title}`, async (t) => {
    const fleet = new AllowanceFleet({
      dataCentres: ['x', 'y', 'z'],
      perDataCentre: 5,
      paid: 20_000,
    });
    const [borrower] = [...fleet.members.values()].filter(
      ({ holders }) => !holders.isHolder(WORKSPACE),
    );
    if (!borrower) throw new Error('no daemon is a borrower');
    fleet.refresh();
    await delay(20);
    fleet.storeOutcome = 'lost-before';
    fleet.isStoreUp = false;
    // The holders together keep a fifth of the paid units, fewer than this request needs.
    t.false(await fleet.serve(borrower, 5_000, 5_000));
    await delay(waitMs);
    t.is(await fleet.serve(borrower, units, units), units === 100);
    const asked = borrower.recorder.timeline
      .list()
      .filter(({ name }) => name === 'allowanceBorrowed');
    t.is(asked.length, rounds);
  });
});

const CUTS = [
  { title: 'callers that come steadily', before: 20, ok: true },
  { title: 'a first caller', before: 0, ok: false },
] as const;

CUTS.forEach(({ title, before, ok }) => {
  test(`a borrower that loses its links refuses callers for want of units: ${title}`, async (t) => {
    const fleet = new AllowanceFleet({ dataCentres: ['x'], perDataCentre: 5, paid: 1_000_000 });
    const borrower = [...fleet.members.values()].find(
      ({ holders }) => !holders.isHolder(WORKSPACE),
    );
    if (!borrower) throw new Error('no daemon is a borrower');
    fleet.refresh();
    await delay(20);
    for (let served = 0; served < before; served += 1) {
      // eslint-disable-next-line no-await-in-loop
      t.true(await fleet.serve(borrower, 200, 100));
      // eslint-disable-next-line no-await-in-loop
      await delay(10);
    }
    fleet.refresh();
    await delay(20);
    fleet.storeOutcome = 'lost-before';
    fleet.isStoreUp = false;
    fleet.delay(5_000);
    t.is(await fleet.serve(borrower, 200, 100), ok);
  });
});

const CUT_HOLDERS = [
  { title: 'the borrower reaches the store', isBorrowerCut: false, ok: true },
  { title: 'only other daemons reach the store', isBorrowerCut: true, ok: true },
] as const;

CUT_HOLDERS.forEach(({ title, isBorrowerCut, ok }) => {
  test(`units that are free in the store stay there while all holders are cut off from it: ${title}`, async (t) => {
    const fleet = new AllowanceFleet(SHAPE);
    const daemons = [...fleet.members.values()];
    const isHolder = ({ holders }: (typeof daemons)[number]): boolean =>
      holders.isHolder(WORKSPACE);
    const borrower = daemons.find((each) => !isHolder(each));
    if (!borrower) throw new Error('no daemon is a borrower');
    fleet.refresh();
    await delay(20);
    const cut = daemons.filter((each) => isHolder(each) || (isBorrowerCut && each === borrower));
    cut.forEach(({ name }) => fleet.withoutStore.add(name));
    t.is(await fleet.serve(borrower, 4_000, 4_000), ok);
  });
});

test('without any way to the store, units that were not drawn stay there', async (t) => {
  const fleet = new AllowanceFleet(SHAPE);
  const daemons = [...fleet.members.values()];
  const borrower = daemons.find(({ holders }) => !holders.isHolder(WORKSPACE));
  if (!borrower) throw new Error('no daemon is a borrower');
  fleet.refresh();
  await delay(20);
  daemons.forEach(({ name }) => fleet.withoutStore.add(name));
  t.false(await fleet.serve(borrower, 4_000, 4_000));
});

test('a borrower loses the units of its next requests when the store refuses a write of its row', async (t) => {
  const fleet = new AllowanceFleet({ ...SHAPE, paid: 100_000 });
  const daemons = [...fleet.members.values()];
  const isHolder = ({ holders }: (typeof daemons)[number]): boolean => holders.isHolder(WORKSPACE);
  const borrower = daemons.find((each) => !isHolder(each));
  if (!borrower) throw new Error('no daemon is a borrower');
  fleet.refresh();
  await delay(20);
  daemons.filter(isHolder).forEach(({ name }) => fleet.withoutStore.add(name));
  // More than the holder has.
  t.true(await fleet.serve(borrower, 20_000, 20_000));
  for (let request = 0; request < 6; request += 1) {
    // The requests run one at a time.
    // eslint-disable-next-line no-await-in-loop
    t.true(await fleet.serve(borrower, 200, 200));
  }
  fleet.storeOutcome = 'refused';
  borrower.allowances.releaseExcess();
  await delay(20);
  fleet.deliveryOutcome = 'lost-before';
  t.true(await fleet.serve(borrower, 200, 200));
});
