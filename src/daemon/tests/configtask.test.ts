import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

import { pino } from 'pino';
import test from 'ava';

import { PeerlessNetwork } from '../../../testbed/peerlessnetwork.js';
import { waitFor } from '../../../testbed/wait.js';
import { splitIntoPieces, EMPTY_DOCUMENTS, EMPTY_MANIFEST, pieceKey } from '../../config/index.js';
import { Err, Ok, SystemClock } from '../../kernel/index.js';
import { ObjectStore } from '../../store/index.js';
import { Recorder } from '../../telemetry/index.js';
import { ConfigTask } from '../configtask.js';

import type { Manifest, Piece } from '../../config/index.js';
import type { Result } from '../../kernel/index.js';
import type { ObjectChange, StoredObject, StoreError, WatchBatch } from '../../store/index.js';

/** Duration of a watch request, in milliseconds. */
const WATCH_MS = 60;

/** A store whose reads stay pending until the test answers them, in any order. */
class ControlledStore extends ObjectStore {
  /** Time of the last watch request, on the monotonic clock. */
  watchedAt = 0;

  readonly #pendingReads = new Map<string, (found: Result<StoredObject, StoreError>) => void>();

  override read(key: string): Promise<Result<StoredObject, StoreError>> {
    return new Promise((resolve) => {
      this.#pendingReads.set(key, resolve);
    });
  }

  answerRead(key: string, value: unknown): void {
    this.#pendingReads.get(key)?.(Ok({ key, version: 1, value }));
  }

  override async write(key: string): Promise<Result<number, StoreError>> {
    return Err({ problem: 'refused', key, text: 'not used' });
  }

  override async remove(key: string): Promise<Result<number, StoreError>> {
    return Err({ problem: 'refused', key, text: 'not used' });
  }

  override async list(): Promise<Result<readonly ObjectChange[], StoreError>> {
    return Ok([]);
  }

  override async watch(): Promise<Result<WatchBatch, StoreError>> {
    this.watchedAt = performance.now();
    await delay(WATCH_MS);
    return Ok({ changes: [], position: 0 });
  }
}

function makeTask(store: ObjectStore): ConfigTask {
  const logger = pino({ level: 'silent' });
  const recorder = new Recorder('entry-1~1', new SystemClock(), {
    logger,
    metrics: undefined,
    flush: () => undefined,
  });
  const network = new PeerlessNetwork();
  return new ConfigTask({ self: 'entry-1~1', dataCentre: 'dc-1', store, network, recorder });
}

function revisionOf(revision: number): { readonly manifest: Manifest; readonly piece: Piece } {
  const workspaces = [{ name: `w-${revision}`, state: 'open' as const, keys: [] }];
  const [piece] = splitIntoPieces({ ...EMPTY_DOCUMENTS, workspaces });
  if (!piece) throw new Error('no piece');
  const { slot, digest } = piece;
  const pieces = [{ slot, digest, version: 1 }];
  return { manifest: { ...EMPTY_MANIFEST, revision, pieces }, piece };
}

const ARRIVAL_ORDERS = [
  { title: 'the older one is complete last', order: [3, 2] },
  { title: 'the older one is complete first', order: [2, 3] },
] as const;

ARRIVAL_ORDERS.forEach(({ title, order }) => {
  test(`the newer of two concurrently loaded revisions stays in force: ${title}`, async (t) => {
    const store = new ControlledStore();
    const task = makeTask(store);
    const loading = [2, 3].map((revision) => task.apply(revisionOf(revision).manifest, null));
    for (const revision of order) {
      const { piece } = revisionOf(revision);
      store.answerRead(pieceKey(piece.digest), piece.documents);
      // The first load finishes before the read of the second one is answered.
      // eslint-disable-next-line no-await-in-loop
      await delay(5);
    }
    t.deepEqual(await Promise.all(loading), [true, true]);
    t.is(task.current?.revision, 3);
    t.deepEqual(
      task.current?.documents.workspaces.map(({ name }) => name),
      ['w-3'],
    );
  });
});

test('a revision with an unavailable piece does not come into force, not even in part', async (t) => {
  const store = new ControlledStore();
  const task = makeTask(store);
  const { manifest, piece } = revisionOf(2);
  const loading = task.apply(manifest, null);
  store.answerRead(pieceKey(piece.digest), null);
  t.false(await loading);
  t.is(task.current, undefined);
});

test('a piece from a peer is ignored if its content does not match its digest', async (t) => {
  const store = new ControlledStore();
  const task = makeTask(store);
  const { manifest, piece } = revisionOf(2);
  const forged: Piece = { ...piece, documents: revisionOf(3).piece.documents };
  const loading = task.apply(manifest, null, [forged]);
  store.answerRead(pieceKey(piece.digest), piece.documents);
  t.true(await loading);
  t.is(task.current?.documents.workspaces[0]?.name, 'w-2');
});

test('a watch confirms the time at which it was sent, not the time of its answer', async (t) => {
  const store = new ControlledStore();
  const task = makeTask(store);
  const { manifest, piece } = revisionOf(2);
  const loading = task.apply(manifest, null);
  store.answerRead(pieceKey(piece.digest), piece.documents);
  await loading;
  const running = task.run();
  const { watchedAt } = store;
  t.true(watchedAt > 0);
  await waitFor('the watch is answered', () => task.confirmedAt !== undefined);
  task.stop();
  t.true(Math.abs((task.confirmedAt ?? 0) - watchedAt) < WATCH_MS / 2);
  await running;
});

test('the confirmation ages by the monotonic clock and is not replaced by an earlier one', async (t) => {
  const task = makeTask(new ControlledStore());
  t.is(task.confirmedAgeMs, Infinity);
  const now = performance.now();
  task.confirm(now);
  task.confirm(now - 1_000);
  t.is(task.confirmedAt, now);
  await delay(20);
  t.true(task.confirmedAgeMs >= 15);
});
