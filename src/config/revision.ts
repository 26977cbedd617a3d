/** Revisions: the manifest that puts pieces in force as a whole. */
import { z } from 'zod';

import { sha256 } from '../kernel/index.js';
import { pieceRefSchema } from './pieces.js';

import type { UpdateDecision } from '../store/index.js';
import type { PieceRef } from './pieces.js';

/** Object key of the manifest. */
export const MANIFEST_KEY = 'config/manifest';

/** Earlier publications that a manifest remembers, so that a repeat is recognised. */
export const HISTORY_LENGTH = 64;

/** Time for which a piece stays stored after no revision names it any more, in milliseconds. */
export const PIECE_RETENTION_MS = 120_000;

/** Budget shards of a fleet that has published nothing yet. */
export const DEFAULT_BUDGET_SHARDS = 2;

/** Budgets for each shard that the first publication lays out. */
const BUDGETS_PER_SHARD = 500;

/** Hexadecimal digits of the digest of a publication. */
const CONTENT_DIGEST_HEX_DIGITS = 16;

/** Schema of one publication. */
export const publicationRecordSchema = z
  .object({
    revision: z.number().int().nonnegative(),
    /** Id of the publishing operation that made the revision. */
    operation: z.string(),
    author: z.string(),
    /** When, in milliseconds since the epoch. */
    at: z.number(),
    /** What it changed, in a few words. */
    summary: z.string().default(''),
    /** Digest of the whole content: an operation id is not used for other content. */
    content: z.string().default(''),
  })
  .readonly();

/** Who put what in force, and when. */
export type PublicationRecord = z.infer<typeof publicationRecordSchema>;

/** Schema of what daemons keep and pass on of a manifest. */
export const manifestSchema = z
  .object({
    revision: z.number().int().nonnegative(),
    operation: z.string(),
    author: z.string(),
    at: z.number(),
    /** The pieces, in a fixed order. */
    pieces: z.array(pieceRefSchema).readonly(),
    /** Budget shards; fixed by the first revision. */
    budgetShards: z.number().int().positive(),
  })
  .readonly();

/** What is in force, by reference. */
export type Manifest = z.infer<typeof manifestSchema>;

/** Schema of a piece that no revision names any more. */
const retiredPieceSchema = z
  .object({ digest: z.string(), version: z.number().int(), at: z.number() })
  .readonly();

/** A stored piece that may be removed after a while. */
export type RetiredPiece = z.infer<typeof retiredPieceSchema>;

/** Schema of the stored manifest. */
export const storedManifestSchema = z
  .object({
    manifest: manifestSchema,
    /** Publications, the newest first. */
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
 * @returns the manifest with its history
 * @throws ZodError if the value is not a manifest
 */
export function parseStoredManifest(value: unknown): StoredManifest {
  return value === null ? EMPTY_STORED_MANIFEST : storedManifestSchema.parse(value);
}

/**
 * Gives the number of budget shards that a first publication lays out.
 * @param budgets - number of budgets that it declares
 * @returns number of shards
 */
export function defaultBudgetShards(budgets: number): number {
  return Math.max(DEFAULT_BUDGET_SHARDS, Math.ceil(budgets / BUDGETS_PER_SHARD));
}

/**
 * Gives the digest of the content of a publication.
 * @param pieces - its pieces
 * @returns hexadecimal digits
 */
export function contentDigest(pieces: readonly Pick<PieceRef, 'slot' | 'digest'>[]): string {
  const text = pieces.map(({ slot, digest }) => `${slot}=${digest}`).join('\n');
  return sha256(text).slice(0, CONTENT_DIGEST_HEX_DIGITS);
}

/** A publication, once its pieces are stored. */
export interface PreparedPublication {
  readonly operation: string;
  readonly author: string;
  readonly at: number;
  readonly summary: string;
  /** Revision that the operator compared with. */
  readonly base: number;
  readonly pieces: readonly PieceRef[];
  /** Budget shards; counts only for the first publication. */
  readonly budgetShards: number;
}

/** What came of a publication. */
export type PublishOutcome =
  | { readonly result: 'published' | 'repeated'; readonly record: PublicationRecord }
  | { readonly result: 'unchanged'; readonly revision: number }
  | { readonly result: 'reused'; readonly record: PublicationRecord }
  /** Publications since the base, the newest first. */
  | { readonly result: 'conflict'; readonly since: readonly PublicationRecord[] };

/** Manifest and pieces that were removed from it for good. */
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
 * Lists the pieces that a publication at some time may remove for good.
 * @param stored - manifest before the publication
 * @param at - time of the publication, in milliseconds since the epoch
 * @returns pieces that have been retired for long enough
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

/** Recognises an operation that was carried out before. */
function findRepeat(
  { history }: StoredManifest,
  publication: PreparedPublication,
): PublishOutcome | undefined {
  const record = history.find(({ operation }) => operation === publication.operation);
  if (!record) return undefined;
  if (record.content !== contentDigest(publication.pieces)) return { result: 'reused', record };
  // The answer to this very publication was lost: it took effect now, not in an earlier run.
  return { result: record.at === publication.at ? 'published' : 'repeated', record };
}

/**
 * Puts a publication in force, unless another came first.
 * @param stored - manifest in force, with its history
 * @param publication - the publication
 * @returns the change of the manifest and its outcome
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
