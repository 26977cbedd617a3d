/** Revisions: one manifest lists all pieces, so that a publication takes effect atomically. */
import * as z from 'zod';

import { sha256 } from '../kernel/index.js';
import { pieceRefSchema } from './pieces.js';

import type { UpdateDecision } from '../store/index.js';
import type { PieceRef } from './pieces.js';

/** Object key of the manifest. */
export const MANIFEST_KEY = 'config/manifest';

/** Number of publications that the stored manifest keeps, to recognise a repeated operation. */
export const HISTORY_LENGTH = 64;

/** Time for which a piece stays stored after the manifest dropped it, in milliseconds. */
export const PIECE_RETENTION_MS = 120_000;

/** Number of budget shards before the first publication, and the least that it sets by default. */
export const DEFAULT_BUDGET_SHARDS = 2;

/** Budgets per shard, for the default number of shards of the first publication. */
const BUDGETS_PER_SHARD = 500;

/** Length of the content digest of a publication, in hexadecimal digits. */
const CONTENT_DIGEST_HEX_DIGITS = 16;

/** Schema of the record of one publication. */
export const publicationRecordSchema = z
  .object({
    revision: z.number().int().nonnegative(),
    /** Id of the operation that published the revision. */
    operation: z.string(),
    author: z.string(),
    /** Time of publication, in milliseconds since the epoch. */
    at: z.number(),
    /** Short summary of the changes. */
    summary: z.string().default(''),
    /** Digest of the whole content, to detect an operation id that is reused for other content. */
    content: z.string().default(''),
  })
  .readonly();

/** Record of one publication: author, time, operation and content digest. */
export type PublicationRecord = z.infer<typeof publicationRecordSchema>;

/** Schema of a manifest, as daemons hold and exchange it. */
export const manifestSchema = z
  .object({
    revision: z.number().int().nonnegative(),
    operation: z.string(),
    author: z.string(),
    at: z.number(),
    /** References to the pieces, ordered by slot. */
    pieces: z.array(pieceRefSchema).readonly(),
    /** Number of budget shards; fixed by the first publication. */
    budgetShards: z.number().int().positive(),
  })
  .readonly();

/** A revision, as references to its pieces. */
export type Manifest = z.infer<typeof manifestSchema>;

/** Schema of a piece that the manifest no longer references. */
const retiredPieceSchema = z
  .object({ digest: z.string(), version: z.number().int(), at: z.number() })
  .readonly();

/** A stored piece that the manifest dropped at "at"; removed after the retention time. */
export type RetiredPiece = z.infer<typeof retiredPieceSchema>;

/** Schema of the stored manifest. */
export const storedManifestSchema = z
  .object({
    manifest: manifestSchema,
    /** Records of the last publications, the newest first. */
    history: z.array(publicationRecordSchema).readonly(),
    retired: z.array(retiredPieceSchema).readonly(),
  })
  .readonly();

/** The manifest as the store keeps it. */
export type StoredManifest = z.infer<typeof storedManifestSchema>;

/** The manifest before the first publication. */
export const EMPTY_MANIFEST: Manifest = {
  revision: 0,
  operation: '',
  author: '',
  at: 0,
  pieces: [],
  budgetShards: DEFAULT_BUDGET_SHARDS,
};

const EMPTY_STORED_MANIFEST: StoredManifest = {
  manifest: EMPTY_MANIFEST,
  history: [],
  retired: [],
};

/**
 * Reads a stored manifest.
 * @param value - stored value; null where nothing was published
 * @returns the stored manifest; an empty one if nothing was published
 * @throws ZodError if the value is not a manifest
 */
export function parseStoredManifest(value: unknown): StoredManifest {
  return value === null ? EMPTY_STORED_MANIFEST : storedManifestSchema.parse(value);
}

/**
 * Computes the default number of budget shards of a first publication.
 * @param budgets - number of budgets that the publication declares
 * @returns number of shards
 */
export function defaultBudgetShards(budgets: number): number {
  return Math.max(DEFAULT_BUDGET_SHARDS, Math.ceil(budgets / BUDGETS_PER_SHARD));
}

/**
 * Computes the digest of the content of a publication; piece versions do not count.
 * @param pieces - pieces of the publication
 * @returns hexadecimal digits
 */
export function contentDigest(pieces: readonly Pick<PieceRef, 'slot' | 'digest'>[]): string {
  const text = pieces.map(({ slot, digest }) => `${slot}=${digest}`).join('\n');
  return sha256(text).slice(0, CONTENT_DIGEST_HEX_DIGITS);
}

/** A publication that is ready to be written to the manifest. */
export interface PreparedPublication {
  readonly operation: string;
  readonly author: string;
  readonly at: number;
  readonly summary: string;
  /** Revision that the operator compared the change with. */
  readonly base: number;
  readonly pieces: readonly PieceRef[];
  /** Number of budget shards; ignored after the first publication. */
  readonly budgetShards: number;
}

/** Outcome of applying a publication to the stored manifest. */
export type PublishOutcome =
  | { readonly result: 'published' | 'repeated'; readonly record: PublicationRecord }
  | { readonly result: 'unchanged'; readonly revision: number }
  | { readonly result: 'reused'; readonly record: PublicationRecord }
  /** "since" holds the publications after the base revision, the newest first. */
  | { readonly result: 'conflict'; readonly since: readonly PublicationRecord[] };

/** Change of the stored manifest, with the outcome of the publication. */
type ManifestChange = UpdateDecision<StoredManifest, PublishOutcome>;

function retirePieces(
  { manifest, retired }: StoredManifest,
  pieces: readonly PieceRef[],
  at: number,
): readonly RetiredPiece[] {
  const referencedDigests = new Set(pieces.map(({ digest }) => digest));
  const dropped = manifest.pieces.filter(({ digest }) => !referencedDigests.has(digest));
  return [
    ...retired.filter(
      (piece) => !referencedDigests.has(piece.digest) && piece.at > at - PIECE_RETENTION_MS,
    ),
    ...dropped.map(({ digest, version }) => ({ digest, version, at })),
  ];
}

/**
 * Lists the retired pieces whose retention time is over, and that may be deleted from the store.
 * @param stored - manifest before the publication
 * @param at - time of the publication, in milliseconds since the epoch
 * @returns retired pieces past their retention time that the manifest does not reference again
 */
export function expiredPieces(
  { manifest, retired }: StoredManifest,
  at: number,
): readonly RetiredPiece[] {
  const referencedDigests = new Set(manifest.pieces.map(({ digest }) => digest));
  return retired.filter(
    (piece) => piece.at <= at - PIECE_RETENTION_MS && !referencedDigests.has(piece.digest),
  );
}

/** Finds the outcome of an operation that is already in the history. */
function findRepeat(
  { history }: StoredManifest,
  publication: PreparedPublication,
): PublishOutcome | undefined {
  const record = history.find(({ operation }) => operation === publication.operation);
  if (!record) return undefined;
  if (record.content !== contentDigest(publication.pieces)) return { result: 'reused', record };
  // Equal times: this attempt wrote the record itself, but the answer of the store was lost.
  return { result: record.at === publication.at ? 'published' : 'repeated', record };
}

/**
 * Applies a publication. It is not applied if its operation id is already in the history, if another
 * publication was made after its base revision, or if its content is the current one.
 * @param stored - stored manifest, with its history
 * @param publication - the publication
 * @returns the change of the stored manifest, and the outcome
 */
export function applyPublication(
  stored: StoredManifest,
  publication: PreparedPublication,
): ManifestChange {
  const { manifest, history } = stored;
  const repeat = findRepeat(stored, publication);
  if (repeat) return { kind: 'keep', outcome: repeat };
  if (manifest.revision !== publication.base) {
    const since = history.filter(({ revision }) => revision > publication.base);
    return { kind: 'keep', outcome: { result: 'conflict', since } };
  }
  const content = contentDigest(publication.pieces);
  if (manifest.revision > 0 && content === contentDigest(manifest.pieces)) {
    return { kind: 'keep', outcome: { result: 'unchanged', revision: manifest.revision } };
  }
  const { operation, author, at, summary, pieces } = publication;
  const revision = manifest.revision + 1;
  const budgetShards = manifest.revision > 0 ? manifest.budgetShards : publication.budgetShards;
  const record: PublicationRecord = { revision, operation, author, at, summary, content };
  const value: StoredManifest = {
    manifest: { revision, operation, author, at, pieces, budgetShards },
    history: [record, ...history].slice(0, HISTORY_LENGTH),
    retired: retirePieces(stored, pieces, at),
  };
  return { kind: 'write', value, outcome: { result: 'published', record } };
}
