import test from 'ava';

import { MEGABYTE_BYTES } from '../../kernel/index.js';
import { dueCollection, isGrowthCollected } from '../bodygarbage.js';

import type { GarbageKind } from '../../kernel/index.js';

interface Row {
  readonly title: string;
  /** Parts that were read, in megabytes. */
  readonly passedMb?: number;
  /** Large bodies that were released, in megabytes. */
  readonly releasedMb?: number;
  /** Memory that is left, in megabytes. */
  readonly freeMb: number;
  /** Limit of the instance, in megabytes; default 88. */
  readonly limitMb?: number;
  readonly expected: GarbageKind | undefined;
}

const ROWS: readonly Row[] = [
  { title: 'nothing was read', freeMb: 20, expected: undefined },
  { title: 'little was read', passedMb: 2.4, freeMb: 20, expected: undefined },
  { title: 'parts have added up', passedMb: 2.6, freeMb: 20, expected: 'minor' },
  { title: 'a large body was released', releasedMb: 4, freeMb: 20, expected: undefined },
  { title: 'two large bodies were released', releasedMb: 8, freeMb: 20, expected: 'major' },
  {
    title: 'a large body was released in a full process',
    releasedMb: 4,
    freeMb: 0,
    expected: 'major',
  },
  {
    title: 'small bodies were read in a full process',
    passedMb: 1,
    freeMb: 0,
    expected: undefined,
  },
  {
    title: 'much was read in a large instance',
    passedMb: 500,
    releasedMb: 500,
    freeMb: 28_000,
    limitMb: 32_000,
    expected: undefined,
  },
];

ROWS.forEach(({ title, passedMb = 0, releasedMb = 0, freeMb, limitMb = 88, expected }) => {
  test(`what is left of bodies is collected in time: ${title}`, (t) => {
    const garbage = {
      passedBytes: passedMb * MEGABYTE_BYTES,
      releasedBytes: releasedMb * MEGABYTE_BYTES,
    };
    const bounds = { limitBytes: limitMb * MEGABYTE_BYTES, freeBytes: freeMb * MEGABYTE_BYTES };
    t.is(dueCollection(garbage, bounds), expected);
  });
});

[
  { title: 'memory is scarce', grownMb: 3, freeMb: 8, expected: true },
  { title: 'it has hardly grown', grownMb: 2, freeMb: 8, expected: false },
  { title: 'there is memory', grownMb: 20, freeMb: 9, expected: false },
].forEach(({ title, grownMb, freeMb, expected }) => {
  test(`garbage is ${expected ? '' : 'not '}collected before a process grows: ${title}`, (t) => {
    const bounds = { limitBytes: 88 * MEGABYTE_BYTES, freeBytes: freeMb * MEGABYTE_BYTES };
    t.is(isGrowthCollected(grownMb * MEGABYTE_BYTES, bounds), expected);
  });
});
