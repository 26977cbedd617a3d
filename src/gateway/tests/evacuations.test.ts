import test from 'ava';

import { Evacuations } from '../evacuations.js';

interface Step {
  readonly at: number;
  /** Default 1. */
  readonly era?: number;
  readonly revision: number;
  /** Takes a listing of the store, or the report of another daemon, or sees one evacuation begin or end. */
  readonly does: 'lists' | 'hears' | 'begins' | 'ends';
  readonly dataCentres: readonly string[];
}

interface Row {
  readonly title: string;
  readonly steps: readonly Step[];
  /** Evacuated data centres, each at a point in time. */
  readonly inForce: readonly (readonly [at: number, dataCentres: readonly string[]])[];
}

const ROWS: readonly Row[] = [
  {
    title: 'an evacuation that began before this daemon did',
    steps: [{ at: 0, does: 'lists', revision: 5, dataCentres: ['b', 'a'] }],
    inForce: [[1, ['a', 'b']]],
  },
  {
    title: 'one that begins and is taken back',
    steps: [
      { at: 0, does: 'lists', revision: 5, dataCentres: [] },
      { at: 10, does: 'begins', revision: 6, dataCentres: ['a'] },
      { at: 20, does: 'ends', revision: 7, dataCentres: ['a'] },
    ],
    inForce: [
      [10, ['a']],
      [20, []],
    ],
  },
  {
    title: 'one that was taken back while the store did not answer',
    steps: [
      { at: 0, does: 'lists', revision: 5, dataCentres: ['a'] },
      { at: 10, does: 'lists', revision: 9, dataCentres: [] },
    ],
    inForce: [[10, []]],
  },
  {
    title: 'one that another daemon reports first',
    steps: [
      { at: 0, does: 'lists', revision: 5, dataCentres: [] },
      { at: 10, does: 'hears', revision: 6, dataCentres: ['a'] },
      { at: 20, does: 'begins', revision: 6, dataCentres: ['a'] },
    ],
    inForce: [
      [10, ['a']],
      [20, ['a']],
    ],
  },
  {
    title: 'a late report from before it was taken back',
    steps: [
      { at: 0, does: 'lists', revision: 5, dataCentres: ['a'] },
      { at: 10, does: 'ends', revision: 7, dataCentres: ['a'] },
      { at: 20, does: 'hears', revision: 6, dataCentres: ['a'] },
    ],
    inForce: [[20, []]],
  },
  {
    title: 'a late change from before it was taken back',
    steps: [
      { at: 0, does: 'lists', revision: 5, dataCentres: [] },
      { at: 10, does: 'hears', revision: 7, dataCentres: [] },
      { at: 20, does: 'begins', revision: 6, dataCentres: ['a'] },
    ],
    inForce: [[20, []]],
  },
  {
    title:
      'one that a store that came back from a copy lacks until the operator has written it again',
    steps: [
      { at: 0, does: 'lists', revision: 9, dataCentres: ['a', 'b'] },
      { at: 10, does: 'lists', era: 2, revision: 4, dataCentres: ['c'] },
      { at: 900, does: 'begins', era: 2, revision: 5, dataCentres: ['a'] },
    ],
    inForce: [
      [10, ['a', 'b', 'c']],
      [5_009, ['a', 'b', 'c']],
      [5_011, ['a', 'c']],
    ],
  },
  {
    title: 'one that a store lacks whose revisions have passed the former ones',
    steps: [
      { at: 0, does: 'lists', revision: 9, dataCentres: ['a'] },
      { at: 10, does: 'lists', era: 2, revision: 40, dataCentres: [] },
    ],
    inForce: [[5_009, ['a']]],
  },
  {
    title: 'one that is taken back after the store came back from a copy',
    steps: [
      { at: 0, does: 'lists', revision: 9, dataCentres: ['a'] },
      { at: 10, does: 'lists', era: 2, revision: 4, dataCentres: [] },
      { at: 20, does: 'begins', era: 2, revision: 5, dataCentres: ['a'] },
      { at: 30, does: 'ends', era: 2, revision: 6, dataCentres: ['a'] },
    ],
    inForce: [
      [20, ['a']],
      [30, []],
    ],
  },
  {
    title: 'further listings after the store came back neither shorten nor prolong it',
    steps: [
      { at: 0, does: 'lists', revision: 9, dataCentres: ['a'] },
      { at: 10, does: 'hears', era: 2, revision: 4, dataCentres: [] },
      { at: 20, does: 'lists', era: 2, revision: 4, dataCentres: [] },
      { at: 3_000, does: 'lists', era: 3, revision: 3, dataCentres: [] },
    ],
    inForce: [
      [5_009, ['a']],
      [5_011, []],
    ],
  },
  {
    title: 'a report of a former era is ignored, whatever its revision',
    steps: [
      { at: 0, does: 'lists', era: 2, revision: 4, dataCentres: ['a'] },
      { at: 10, does: 'hears', era: 1, revision: 900, dataCentres: ['b'] },
    ],
    inForce: [[10, ['a']]],
  },
  {
    title: 'a listing that the report of another daemon has overtaken',
    steps: [
      { at: 0, does: 'hears', revision: 6, dataCentres: ['a'] },
      { at: 10, does: 'lists', revision: 5, dataCentres: [] },
      { at: 20, does: 'begins', revision: 6, dataCentres: ['a'] },
    ],
    inForce: [
      [10, ['a']],
      [9_000, ['a']],
    ],
  },
];

function apply(evacuations: Evacuations, { at, does, era = 1, revision, dataCentres }: Step): void {
  const report = { era, revision, dataCentres };
  if (does === 'lists') evacuations.applyListing(report, at);
  else if (does === 'hears') evacuations.applyReport(report, at);
  else {
    const isEvacuated = does === 'begins';
    const changes = dataCentres.map((dataCentre) => ({ dataCentre, isEvacuated }));
    evacuations.applyChanges(changes, report);
  }
}

ROWS.forEach(({ title, steps, inForce }) => {
  test(`evacuations are in force from when they are known until they are taken back: ${title}`, (t) => {
    const evacuations = new Evacuations();
    const left = [...steps];
    const seen = inForce.map(([at]) => {
      while (left[0] && left[0].at <= at) apply(evacuations, left.shift() as Step);
      return [at, evacuations.dataCentres(at)];
    });
    t.deepEqual(seen, inForce as unknown as typeof seen);
  });
});

test('evacuations count as unknown until the store or another daemon has reported them', (t) => {
  const evacuations = new Evacuations();
  t.false(evacuations.isKnown);
  t.is(evacuations.report, undefined);
  evacuations.applyReport({ era: 1, revision: 3, dataCentres: ['a'] }, 0);
  t.true(evacuations.isKnown);
  t.deepEqual(evacuations.report, { era: 1, revision: 3, dataCentres: ['a'] });
});

test('other daemons are not told of evacuations that the store lacks', (t) => {
  const evacuations = new Evacuations();
  evacuations.applyListing({ era: 1, revision: 9, dataCentres: ['a', 'b'] }, 0);
  evacuations.applyListing({ era: 2, revision: 4, dataCentres: ['b'] }, 10);
  t.deepEqual(evacuations.dataCentres(20), ['a', 'b']);
  t.deepEqual(evacuations.report, { era: 2, revision: 4, dataCentres: ['b'] });
});

test('a daemon that starts takes over evacuations that the store lacks, for the time that is left', (t) => {
  const first = new Evacuations();
  first.applyListing({ era: 1, revision: 5, dataCentres: ['a'] }, 0);
  first.applyListing({ era: 2, revision: 3, dataCentres: [] }, 1_000);
  const late = new Evacuations();
  late.applyListing({ era: 2, revision: 3, dataCentres: [] }, 2_000);
  late.await(first.awaited(2_000), 2_000);
  t.deepEqual(first.awaited(2_000), [{ dataCentre: 'a', leftMs: 4_000 }]);
  t.true(late.has('a', 5_900));
  t.false(late.has('a', 6_100));
  late.applyChanges([{ dataCentre: 'a', isEvacuated: true }], { era: 2, revision: 4 });
  t.true(late.has('a', 60_000));
});
