/** Publishes configuration: stores the pieces, then activates them with one conditional write. */
import { setTimeout as delay } from 'node:timers/promises';

import {
  crossCheck,
  splitIntoPieces,
  pieceDigest,
  EMPTY_DOCUMENTS,
  entriesOf,
  expiredPieces,
  joinDocuments,
  MANIFEST_KEY,
  parseStoredManifest,
  pieceKey,
  applyPublication,
  publishFailure,
  removalFailure,
  defaultBudgetShards,
  summarizeChanges,
  documentsSchema,
} from '../config/index.js';
import { Err, failure, Ok } from '../kernel/index.js';
import { updateObject } from '../store/index.js';

import type {
  Documents,
  Piece,
  PieceRef,
  PublicationOrder,
  PublicationView,
  PublishOutcome,
  PreparedPublication,
  StoredManifest,
} from '../config/index.js';
import type { Clock, Failure, Result } from '../kernel/index.js';
import type { ObjectStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { ConfigTask } from './configtask.js';

/** Pieces that are written concurrently. */
const MAX_CONCURRENT_WRITES = 8;

/**
 * Delay between batches of writes, in milliseconds; it leaves part of the store's write rate to
 * other clients.
 */
const WRITE_BATCH_INTERVAL_MS = 40;

/** Most attempts to store one piece. */
const MAX_WRITE_ATTEMPTS = 8;

/** Most findings that the refusal of a revision lists. */
const MAX_FINDINGS = 5;

/** Dependencies of the publisher. */
export interface PublisherContext {
  readonly store: ObjectStore;
  readonly config: ConfigTask;
  readonly recorder: Recorder;
  /** Provides the timestamps of publications. */
  readonly clock: Clock;
}

function checkRevision(documents: Documents): Failure | undefined {
  const entries = entriesOf(documents, 0);
  const findings = crossCheck({ entries, broken: [], isComplete: true });
  if (findings.length === 0) return undefined;
  const named = findings.slice(0, MAX_FINDINGS).map(({ text }) => text);
  const more = findings.length > MAX_FINDINGS ? ` (${findings.length} in all)` : '';
  return failure('invalid', `${named.join('; ')}${more}`);
}

function viewOf(outcome: PublishOutcome): PublicationView {
  if (outcome.result === 'published' || outcome.result === 'repeated') {
    const { revision, at } = outcome.record;
    return { result: outcome.result, revision, at };
  }
  const revision = outcome.result === 'unchanged' ? outcome.revision : 0;
  return { result: 'unchanged', revision, at: 0 };
}

/** Executes the publications that operators send to this daemon. */
export class Publisher {
  /**
   * Creates the publisher.
   * @param ctx - store, configuration in force, event recorder and clock
   */
  constructor(private readonly ctx: PublisherContext) {}

  /**
   * Stores pieces before the publication that refers to them by digest.
   * @param parts - content of the pieces
   * @returns their digests, or a failure if the store did not accept every piece
   */
  async stage(parts: readonly Documents[]): Promise<Result<readonly string[], Failure>> {
    const pieces = parts.map((documents) => ({
      slot: '',
      digest: pieceDigest(documents),
      documents,
    }));
    const stored = await this.#storePieces(pieces);
    return stored.map((refs) => refs.map(({ digest }) => digest));
  }

  /**
   * Activates documents as a new revision.
   * @param order - the publication
   * @returns the revision, or the failure that prevented it
   */
  async publish(order: PublicationOrder): Promise<Result<PublicationView, Failure>> {
    await this.ctx.config.refresh();
    const read = await this.ctx.config.readManifest();
    if (read.err) return Err(failure('store-unavailable', read.val.text));
    const documents = await this.#documentsOf(order);
    if (documents.err) return documents;
    const invalid = checkRevision(documents.val);
    if (invalid) return Err(invalid);
    const pieces = splitIntoPieces(documents.val);
    const request = this.#buildRequest(order, documents.val, pieces);
    const precheck = applyPublication(read.val, request);
    if (precheck.kind === 'keep') return Publisher.#resultOf(precheck.outcome, order);
    const removal = removalFailure(
      this.ctx.config.current?.documents ?? EMPTY_DOCUMENTS,
      documents.val,
    );
    if (order.keep && removal) return Err(removal);
    const refs = await this.#storeMissing(read.val, pieces);
    if (refs.err) return refs;
    return this.#putInForce(read.val, { ...request, pieces: refs.val }, order);
  }

  static #resultOf(
    outcome: PublishOutcome,
    { base }: PublicationOrder,
  ): Result<PublicationView, Failure> {
    const refusal = publishFailure(outcome, base);
    return refusal ? Err(refusal) : Ok(viewOf(outcome));
  }

  #buildRequest(
    order: PublicationOrder,
    documents: Documents,
    pieces: readonly Piece[],
  ): PreparedPublication {
    const { operation, author, base } = order;
    const before = this.ctx.config.current?.documents ?? EMPTY_DOCUMENTS;
    return {
      operation,
      author,
      base,
      at: this.ctx.clock.now(),
      summary: summarizeChanges(before, documents),
      pieces: pieces.map(({ slot, digest }) => ({ slot, digest, version: 0 })),
      budgetShards: order.budgetShards ?? defaultBudgetShards(documents.budgets.length),
    };
  }

  async #documentsOf({
    documents,
    digests,
  }: PublicationOrder): Promise<Result<Documents, Failure>> {
    if (documents) return Ok(documents);
    const known = new Map(
      this.ctx.config
        .held(this.ctx.config.current?.manifest.pieces ?? [])
        .map((piece) => [piece.digest, piece.documents]),
    );
    const parts: Documents[] = [];
    for (const digest of digests ?? []) {
      // Only pieces that are new in this publication are read from the store, and these are few.
      // eslint-disable-next-line no-await-in-loop
      const part = known.get(digest) ?? (await this.#readPiece(digest));
      if (!part) return Err(failure('invalid', `piece ${digest} is not stored`));
      parts.push(part);
    }
    return Ok(joinDocuments(parts));
  }

  async #readPiece(digest: string): Promise<Documents | undefined> {
    const found = await this.ctx.store.read(pieceKey(digest));
    const parsed = found.ok ? documentsSchema.safeParse(found.val.value) : undefined;
    return parsed?.success ? parsed.data : undefined;
  }

  async #putInForce(
    before: StoredManifest,
    request: PreparedPublication,
    order: PublicationOrder,
  ): Promise<Result<PublicationView, Failure>> {
    const kind = { key: MANIFEST_KEY, parse: parseStoredManifest };
    const done = await updateObject(this.ctx.store, kind, (stored) =>
      applyPublication(stored, request),
    );
    if (done.err) return Err(failure('store-unavailable', done.val.text, 'unknown'));
    if (done.val.result === 'published') {
      await this.ctx.config.refresh();
      void this.#removeExpired(before, request.at);
    }
    return Publisher.#resultOf(done.val, order);
  }

  /** Stores the pieces that are not in force and returns references to all of them. */
  async #storeMissing(
    { manifest }: StoredManifest,
    pieces: readonly Piece[],
  ): Promise<Result<readonly PieceRef[], Failure>> {
    const known = new Map(manifest.pieces.map(({ digest, version }) => [digest, version]));
    const added = await this.#storePieces(pieces.filter(({ digest }) => !known.has(digest)));
    if (added.err) return added;
    const versions = new Map([
      ...known,
      ...added.val.map((ref) => [ref.digest, ref.version] as const),
    ]);
    return Ok(
      pieces.map(({ slot, digest }) => ({ slot, digest, version: versions.get(digest) ?? 0 })),
    );
  }

  async #storePieces(pieces: readonly Piece[]): Promise<Result<readonly PieceRef[], Failure>> {
    const refs: PieceRef[] = [];
    for (let start = 0; start < pieces.length; start += MAX_CONCURRENT_WRITES) {
      /* Batches are written one after another to stay within the write rate of the store. */
      /* eslint-disable no-await-in-loop */
      if (start > 0) await delay(WRITE_BATCH_INTERVAL_MS);
      const batch = pieces.slice(start, start + MAX_CONCURRENT_WRITES);
      const stored = await Promise.all(batch.map((piece) => this.#storePiece(piece)));
      /* eslint-enable no-await-in-loop */
      const found = stored.filter((ref) => ref !== undefined);
      if (found.length < batch.length) return Err(failure('store-unavailable', 'pieces'));
      refs.push(...found);
    }
    return Ok(refs);
  }

  /**
   * Stores a piece. A piece that is already stored is written again, because the new version
   * prevents another publisher from removing it as expired.
   */
  async #storePiece({ slot, digest, documents }: Piece): Promise<PieceRef | undefined> {
    const key = pieceKey(digest);
    let expected = 0;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
      /* Attempts are sequential: each expects the version that the previous one read. */
      /* eslint-disable no-await-in-loop */
      const written = await this.ctx.store.write(key, documents, expected);
      if (written.ok) return { slot, digest, version: written.val };
      if (written.val.problem === 'refused') await delay(WRITE_BATCH_INTERVAL_MS * (attempt + 1));
      const found = await this.ctx.store.read(key);
      /* eslint-enable no-await-in-loop */
      if (found.ok) expected = found.val.version;
    }
    return undefined;
  }

  async #removeExpired(before: StoredManifest, at: number): Promise<void> {
    const old = expiredPieces(before, at);
    for (const { digest, version } of old) {
      // Removes only the version that was in force: a later version belongs to a new publication.
      // eslint-disable-next-line no-await-in-loop
      await this.ctx.store.remove(pieceKey(digest), version);
    }
    if (old.length > 0) this.ctx.recorder.record('piecesRemoved', { detail: `${old.length}` });
  }
}
