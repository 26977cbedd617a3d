import test from 'ava';

import { newIncarnation } from '../../kernel/index.js';
import { confirmHolder, hearDaemons, openShard } from '../era.js';

import type { ShardHearing } from '../era.js';

const SHARE = 0.02;

/** Shard of a new era, made from a copy from before the first draw. */
const OPENED = openShard(2, undefined, ['a', 'b']);

const WITNESS: ShardHearing = {
  holder: newIncarnation('a'),
  hasLived: true,
  lines: [],
  closed: [],
};

const NEWCOMER: ShardHearing = { holder: newIncarnation('b'), hasLived: false, closed: [] };

const HEARINGS = [
  {
    title: 'together with one that ran before',
    shard: OPENED,
    heard: [WITNESS, NEWCOMER],
    held: 1,
  },
  {
    title: 'after one that ran before',
    shard: confirmHolder(OPENED, WITNESS),
    heard: [NEWCOMER],
    held: 1,
  },
  { title: 'where nobody ran before', shard: OPENED, heard: [NEWCOMER], held: 0 },
] as const;

HEARINGS.forEach(({ title, shard, heard, held }) => {
  test(`units of a lost process are drawn again: its successor is heard ${title}`, (t) => {
    const { recovery } = hearDaemons(shard, heard, SHARE);
    t.is(recovery?.heldBack.length, held);
    t.false(recovery?.unheard.includes('b'));
  });
});
