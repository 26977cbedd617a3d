import fc from 'fast-check';
import test from 'ava';

import { DEFAULT_SEED } from '../../../testbed/seed.js';
import { documentsSchema } from '../documents.js';
import { applyDelta, diffManifests } from '../manifestdelta.js';
import { splitIntoPieces, MAX_PIECE_BYTES, SLOT_COUNT } from '../pieces.js';
import {
  contentDigest,
  EMPTY_MANIFEST,
  HISTORY_LENGTH,
  parseStoredManifest,
  applyPublication,
} from '../revision.js';

import type { Documents } from '../documents.js';
import type { Piece } from '../pieces.js';
import type { Manifest, StoredManifest } from '../revision.js';

const MEGABYTE = 1_000_000;

function makeDocuments(workspaces: number, budgets: number): Documents {
  const names = Array.from({ length: workspaces }, (_, index) => `workspace-${index}`);
  const owners = Array.from({ length: budgets }, (_, index) => index % workspaces);
  return documentsSchema.parse({
    workspaces: names.map((name, owner) => ({
      name,
      keys: owners.flatMap((of, budget) =>
        of === owner
          ? [{ sha256: budget.toString(16).padStart(64, 'a'), budget: `budget-${budget}` }]
          : [],
      ),
    })),
    budgets: owners.map((owner, index) => ({
      name: `budget-${index}`,
      workspace: `workspace-${owner}`,
    })),
  });
}

function bytesOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

function manifestOf(revision: number, pieces: readonly Piece[]): Manifest {
  const refs = pieces.map(({ slot, digest }) => ({ slot, digest, version: 1 }));
  return { ...EMPTY_MANIFEST, revision, operation: `op-${revision}`, pieces: refs };
}

test('pieces of 500 workspaces and 42,000 budgets stay below 100 kB, the manifest below 200 kB', (t) => {
  const documents = makeDocuments(500, 42_000);
  const pieces = splitIntoPieces(documents);
  const sizes = pieces.map((piece) => bytesOf(piece.documents));
  t.is(pieces.length, SLOT_COUNT);
  t.true(Math.max(...sizes) < 100_000, `largest piece: ${Math.max(...sizes)} bytes`);
  const manifest = manifestOf(1, pieces);
  const record = { ...manifest, summary: 'x'.repeat(200), content: 'c'.repeat(16) };
  const history = Array.from({ length: HISTORY_LENGTH }, () => ({ ...record, pieces: undefined }));
  const retired = manifest.pieces.map(({ digest }) => ({ digest, version: 1, at: 1 }));
  t.true(bytesOf({ manifest, history, retired }) < MEGABYTE / 5);
});

test('adding one budget changes one small piece', (t) => {
  const before = makeDocuments(500, 42_000);
  const budgets = [...before.budgets, { name: 'spare', workspace: 'workspace-1' }];
  const old = splitIntoPieces(before);
  const next = splitIntoPieces({ ...before, budgets });
  const delta = diffManifests(manifestOf(1, old), manifestOf(2, next));
  t.is(delta.changed.length, 1);
  const changedPiece = next.find(({ digest }) => digest === delta.changed[0]?.digest);
  t.true(bytesOf(changedPiece) < 100_000, `changed piece: ${bytesOf(changedPiece)} bytes`);
});

test('a slot with large documents is split', (t) => {
  const keys = Array.from({ length: 6_000 }, (_, index) => ({
    sha256: index.toString(16).padStart(64, '0'),
    budget: 'main',
  }));
  const workspaces = Array.from({ length: 600 }, (_, index) => ({
    name: `w-${index}`,
    state: 'open' as const,
    keys: index < 40 ? keys : [],
  }));
  const pieces = splitIntoPieces({ workspaces, budgets: [], routes: [], upstreams: [], plans: [] });
  const sizes = pieces.map((piece) => bytesOf(piece.documents));
  t.true(Math.max(...sizes) <= MAX_PIECE_BYTES);
  t.true(pieces.some(({ slot }) => slot.includes('.')));
  t.is(new Set(pieces.map(({ slot }) => slot)).size, pieces.length);
});

const refsArbitrary = fc
  .uniqueArray(fc.integer({ min: 0, max: 30 }), { maxLength: 12 })
  .chain((slots) =>
    fc.tuple(
      ...[...slots]
        .sort((a, b) => a - b)
        .map((slot) =>
          fc.integer({ min: 0, max: 3 }).map((content) => ({
            slot: String(slot),
            digest: `d${content}`,
            version: 1,
          })),
        ),
    ),
  );

test('a manifest difference applies to its base manifest only', (t) => {
  fc.assert(
    fc.property(refsArbitrary, refsArbitrary, (a, b) => {
      const from: Manifest = { ...EMPTY_MANIFEST, revision: 4, pieces: a };
      const to: Manifest = { ...EMPTY_MANIFEST, revision: 7, pieces: b };
      const delta = diffManifests(from, to);
      t.deepEqual(applyDelta(from, delta), to);
      t.is(applyDelta({ ...from, revision: 5 }, delta), undefined);
    }),
    { seed: DEFAULT_SEED },
  );
});

const PIECES = [{ slot: '1', digest: 'aa', version: 1 }];
const OTHER_PIECES = [{ slot: '1', digest: 'bb', version: 1 }];
const PUBLICATION = {
  operation: 'op-1',
  author: 'ana',
  at: 1_000,
  summary: 'added budgets main',
  base: 0,
  pieces: PIECES,
  budgetShards: 3,
};

function storedAfter(stored: StoredManifest, publication: typeof PUBLICATION): StoredManifest {
  const change = applyPublication(stored, publication);
  return change.kind === 'write' ? change.value : stored;
}

const EMPTY_STORED = parseStoredManifest(null);
const FIRST = storedAfter(EMPTY_STORED, PUBLICATION);
const SECOND = storedAfter(FIRST, {
  ...PUBLICATION,
  operation: 'op-2',
  base: 1,
  pieces: OTHER_PIECES,
  budgetShards: 9,
});

const OUTCOMES = [
  { title: 'the first publication', stored: EMPTY_STORED, ask: PUBLICATION, result: 'published' },
  { title: 'a retry after a lost answer', stored: FIRST, ask: PUBLICATION, result: 'published' },
  { title: 'a repeat', stored: FIRST, ask: { ...PUBLICATION, at: 2_000 }, result: 'repeated' },
  {
    title: 'a repeat after a later revision',
    stored: SECOND,
    ask: { ...PUBLICATION, at: 2_000 },
    result: 'repeated',
  },
  {
    title: 'an operation id that was used for other content',
    stored: FIRST,
    ask: { ...PUBLICATION, at: 2_000, pieces: OTHER_PIECES },
    result: 'reused',
  },
  {
    title: 'an outdated base revision',
    stored: FIRST,
    ask: { ...PUBLICATION, operation: 'op-3' },
    result: 'conflict',
  },
  {
    title: 'the same content again',
    stored: FIRST,
    ask: { ...PUBLICATION, operation: 'op-3', base: 1 },
    result: 'unchanged',
  },
] as const;

OUTCOMES.forEach(({ title, stored, ask, result }) => {
  test(`publish: ${title} is ${result}`, (t) => {
    t.is(applyPublication(stored, ask).outcome.result, result);
  });
});

test('publish: a conflict lists every publication since the base revision', (t) => {
  const { outcome } = applyPublication(SECOND, { ...PUBLICATION, operation: 'op-3' });
  t.deepEqual(
    outcome.result === 'conflict' ? outcome.since.map(({ operation }) => operation) : [],
    ['op-2', 'op-1'],
  );
});

test('publish: the number of budget shards is fixed by the first publication', (t) => {
  t.is(FIRST.manifest.budgetShards, 3);
  t.is(SECOND.manifest.budgetShards, 3);
});

test('publish: a dropped piece is retired with its version and kept for the retention time', (t) => {
  t.deepEqual(SECOND.retired, [{ digest: 'aa', version: 1, at: 1_000 }]);
  const soon = storedAfter(SECOND, {
    ...PUBLICATION,
    operation: 'op-3',
    base: 2,
    at: 2_000,
    pieces: [],
  });
  t.deepEqual(
    soon.retired.map(({ digest }) => digest),
    ['aa', 'bb'],
  );
  const late = storedAfter(SECOND, {
    ...PUBLICATION,
    operation: 'op-3',
    base: 2,
    at: 900_000,
    pieces: [],
  });
  t.deepEqual(
    late.retired.map(({ digest }) => digest),
    ['bb'],
  );
  const again = storedAfter(SECOND, { ...PUBLICATION, operation: 'op-3', base: 2, at: 2_000 });
  t.deepEqual(
    again.retired.map(({ digest }) => digest),
    ['bb'],
  );
});

test('the digest of a publication depends on slots and digests, not on versions', (t) => {
  t.is(contentDigest(PIECES), contentDigest([{ slot: '1', digest: 'aa' }]));
  t.not(contentDigest(PIECES), contentDigest(OTHER_PIECES));
});
