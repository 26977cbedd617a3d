import test from 'ava';

import { backupCandidates, fence, acceptBatch, mergeExposures, NO_COPIES } from '../index.js';

import type { ChargeLine } from '../../budget/index.js';
import type { Instance } from '../../store/index.js';
import type { Copies, CopyBatch } from '../index.js';

function lines(first: number, last: number): readonly ChargeLine[] {
  return Array.from({ length: last - first + 1 }, (_, at) => {
    const sequence = first + at;
    const key = `k${sequence}`;
    return { key, workspace: 'w', budget: 'b', units: 1, holder: 'h~1', sequence, at: 1 };
  });
}

function batch(fields: Partial<CopyBatch>): CopyBatch {
  return {
    type: 'copy-lines',
    holder: 'h~1',
    backup: 'p~1',
    shard: 0,
    lines: [],
    settled: 0,
    exposures: [],
    window: 10,
    ...fields,
  };
}

const THREE: Copies = acceptBatch(NO_COPIES, batch({ lines: lines(1, 3) }), 10).copies;

const BATCHES = [
  {
    title: 'stores the first lines',
    copies: NO_COPIES,
    ask: batch({ lines: lines(1, 2) }),
    verdict: 'kept',
    through: 2,
    kept: [1, 2],
  },
  {
    title: 'stores consecutive lines',
    copies: THREE,
    ask: batch({ lines: lines(4, 4) }),
    verdict: 'kept',
    through: 4,
    kept: [1, 2, 3, 4],
  },
  {
    title: 'ignores lines that it already has',
    copies: THREE,
    ask: batch({ lines: lines(2, 4) }),
    verdict: 'kept',
    through: 4,
    kept: [1, 2, 3, 4],
  },
  {
    title: 'deletes lines that are settled in the store',
    copies: THREE,
    ask: batch({ settled: 2 }),
    verdict: 'kept',
    through: 3,
    kept: [3],
  },
  {
    title: 'starts after the settled sequence of a holder without copies',
    copies: NO_COPIES,
    ask: batch({ lines: lines(8, 9), settled: 7 }),
    verdict: 'kept',
    through: 9,
    kept: [8, 9],
  },
  {
    title: 'refuses lines after a gap',
    copies: THREE,
    ask: batch({ lines: lines(5, 5) }),
    verdict: 'gap',
    through: 3,
    kept: [1, 2, 3],
  },
  {
    title: 'refuses lines that do not fit into memory',
    copies: THREE,
    ask: batch({ lines: lines(4, 14) }),
    verdict: 'full',
    through: 3,
    kept: [1, 2, 3],
  },
  {
    title: 'refuses a fenced holder',
    copies: fence(THREE),
    ask: batch({ lines: lines(4, 4) }),
    verdict: 'fenced',
    through: 3,
    kept: [1, 2, 3],
  },
] as const;

BATCHES.forEach(({ title, copies, ask, verdict, through, kept }) => {
  test(`acceptBatch: ${title}`, (t) => {
    const done = acceptBatch(copies, ask, 10);
    t.deepEqual(done.verdict, { type: 'lines-copied', verdict, through });
    t.deepEqual(
      done.copies.lines.map(({ sequence }) => sequence),
      [...kept],
    );
  });
});

test('mergeExposures: the order of reports does not matter', (t) => {
  const early = { budget: 'b', reservedTotal: 10, releasedTotal: 0, passed: 1 };
  const late = { budget: 'b', reservedTotal: 30, releasedTotal: 10, passed: 2 };
  t.deepEqual(mergeExposures([early], [late]), [late]);
  t.deepEqual(mergeExposures([late], [early]), [late]);
});

test('backupCandidates: other data centres come first, leaving instances are excluded', (t) => {
  const peer = (name: string, dataCentre: string, state: Instance['state']): Instance => ({
    name,
    dataCentre,
    state,
    peerAddress: '127.0.0.1:1',
  });
  const peers = [
    peer('a', 'dc-1', 'live'),
    peer('b', 'dc-2', 'live'),
    peer('c', 'dc-2', 'leaving'),
  ];
  t.deepEqual(backupCandidates('h~1', 'dc-1', peers), ['b', 'a']);
});
