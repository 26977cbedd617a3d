import test from 'ava';

import { chooseHolders, groupHolders } from '../holders.js';

import type { HolderCandidate } from '../holders.js';

function fleet(sizes: Readonly<Record<string, number>>): readonly HolderCandidate[] {
  return Object.entries(sizes).flatMap(([dataCentre, count]) =>
    Array.from({ length: count }, (_, index) => ({
      name: `${dataCentre}-${index}`,
      dataCentre,
      cores: 1,
    })),
  );
}

const ROWS = [
  { title: 'a small fleet: every daemon', sizes: { a: 3, b: 2, c: 2 }, near: 3, far: 4 },
  {
    title: 'a large fleet: one daemon of each large data centre',
    sizes: { a: 30, b: 25, c: 2 },
    near: 1,
    far: 3,
  },
  { title: 'a fleet of one daemon', sizes: { a: 1 }, near: 1, far: 0 },
] as const;

ROWS.forEach(({ title, sizes, near, far }) => {
  test(`holders in ${title}`, (t) => {
    const found = chooseHolders('w', groupHolders(fleet(sizes), 3), 'a');
    t.deepEqual([found.local.length, found.remote.length], [near, far]);
    t.true(found.local.every((name) => name.startsWith('a-')));
  });
});

test('every daemon chooses the same holders, whatever the order of its fleet list', (t) => {
  const daemons = fleet({ a: 20, b: 20 });
  const seenFromA = chooseHolders('w', groupHolders(daemons, 3), 'a');
  const seenFromB = chooseHolders('w', groupHolders([...daemons].reverse(), 3), 'b');
  t.deepEqual(seenFromA.local, seenFromB.remote);
  t.deepEqual(seenFromA.remote, seenFromB.local);
});

const GROUPS = [
  { title: 'the small grown fleets', perDataCentre: 18, holders: 2 },
  { title: 'five data centres of 39', perDataCentre: 39, holders: 3 },
  { title: 'the size to come', perDataCentre: 59, holders: 4 },
] as const;

GROUPS.forEach(({ title, perDataCentre, holders }) => {
  test(`a daemon borrows from few others for all workspaces, the strongest ones: ${title}`, (t) => {
    const strong = new Set(['a-3', 'a-7', 'a-11', 'a-13'].slice(0, holders));
    const daemons = fleet({ a: perDataCentre, b: perDataCentre }).map((daemon) => ({
      ...daemon,
      cores: strong.has(daemon.name) ? 1.35 : 0.324,
    }));
    const chosen = Array.from(
      { length: 40 },
      (_, index) => chooseHolders(`w${index}`, groupHolders(daemons, 3), 'a').local,
    );
    t.true(chosen.every((local) => local.length === 1));
    t.deepEqual([...new Set(chosen.flat())].sort(), [...strong].sort());
  });
});

test('adding one daemon changes few holders', (t) => {
  const workspaces = Array.from({ length: 100 }, (_, index) => `w${index}`);
  const before = fleet({ a: 20 });
  const changed = workspaces.filter((workspace) => {
    const old = chooseHolders(workspace, groupHolders(before, 3), 'a').local;
    const now = chooseHolders(workspace, groupHolders(fleet({ a: 21 }), 3), 'a').local;
    return now.some((name) => !old.includes(name));
  });
  // Each of 21 daemons is chosen for about 1/21 of the workspaces; the limit is about three times
  // that.
  t.true(changed.length <= 14, `${changed.length} of 100 changed`);
});
