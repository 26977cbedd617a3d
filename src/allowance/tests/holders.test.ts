import test from 'ava';

import { chooseHolders } from '../holders.js';

import type { HolderCandidate } from '../holders.js';

function fleet(sizes: Readonly<Record<string, number>>): readonly HolderCandidate[] {
  return Object.entries(sizes).flatMap(([dataCentre, count]) =>
    Array.from({ length: count }, (_, index) => ({ name: `${dataCentre}-${index}`, dataCentre })),
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
    const found = chooseHolders('w', fleet(sizes), 'a', 3);
    t.deepEqual([found.local.length, found.remote.length], [near, far]);
    t.true(found.local.every((name) => name.startsWith('a-')));
  });
});

test('every daemon chooses the same holders, whatever the order of its fleet list', (t) => {
  const daemons = fleet({ a: 20, b: 20 });
  const seenFromA = chooseHolders('w', daemons, 'a', 3);
  const seenFromB = chooseHolders('w', [...daemons].reverse(), 'b', 3);
  t.deepEqual(seenFromA.local, seenFromB.remote);
  t.deepEqual(seenFromA.remote, seenFromB.local);
});

test('adding one daemon changes few holders', (t) => {
  const workspaces = Array.from({ length: 100 }, (_, index) => `w${index}`);
  const before = fleet({ a: 20 });
  const changed = workspaces.filter((workspace) => {
    const old = chooseHolders(workspace, before, 'a', 3).local;
    const now = chooseHolders(workspace, fleet({ a: 21 }), 'a', 3).local;
    return now.some((name) => !old.includes(name));
  });
  // Each of 21 daemons is chosen for about 1/21 of the workspaces; the limit is about three times
  // that.
  t.true(changed.length <= 14, `${changed.length} of 100 changed`);
});
