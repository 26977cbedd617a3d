/** Splits a revision into pieces by hash of document name: a small change affects few pieces. */
import * as z from 'zod';

import { hash32, sha256 } from '../kernel/index.js';
import { documentsSchema } from './documents.js';
import { documentsOf, entriesOf } from './entries.js';

import type { Documents } from './documents.js';
import type { Entry } from './entries.js';

/** Number of slots; a slot with documents becomes one piece, or several if it is too large. */
export const SLOT_COUNT = 512;

/** Largest piece, in bytes of JSON; the store accepts objects of up to one megabyte. */
export const MAX_PIECE_BYTES = 950_000;

/** Length of the digest that names a piece, in hexadecimal digits. */
const DIGEST_HEX_DIGITS = 32;

/** Schema of a reference to a stored piece. */
export const pieceRefSchema = z
  .object({
    /**
     * Slot of the revision, such as "12". The pieces of a split slot are "12.0" and "12.1"; one that is
     * still too large is split again, into "12.0.0" and "12.0.1".
     */
    slot: z.string(),
    digest: z.string(),
    /** Version of the stored object; clean-up deletes the object only in this version. */
    version: z.number().int(),
  })
  .readonly();

/** Reference to a stored piece. */
export type PieceRef = z.infer<typeof pieceRefSchema>;

/** Schema of a piece with its content. */
export const pieceSchema = z
  .object({ slot: z.string(), digest: z.string(), documents: documentsSchema })
  .readonly();

/** One part of a revision, identified by the digest of its content. */
export type Piece = z.infer<typeof pieceSchema>;

/**
 * Returns the object key of a piece in the store.
 * @param digest - digest of the piece
 * @returns the object key
 */
export function pieceKey(digest: string): string {
  return `config/pieces/${digest}`;
}

/**
 * Computes the digest that identifies a piece.
 * @param documents - content of the piece
 * @returns hexadecimal digits
 */
export function pieceDigest(documents: Documents): string {
  return sha256(JSON.stringify(documents)).slice(0, DIGEST_HEX_DIGITS);
}

function qualifiedName({ kind, document }: Entry): string {
  return `${kind}/${document.name}`;
}

function compareEntries(a: Entry, b: Entry): number {
  return qualifiedName(a) < qualifiedName(b) ? -1 : 1;
}

function makePieces(slot: string, entries: readonly Entry[], level: number): readonly Piece[] {
  const documents = documentsOf(entries);
  const bytes = Buffer.byteLength(JSON.stringify(documents));
  if (bytes <= MAX_PIECE_BYTES || entries.length === 1) {
    return [{ slot, digest: pieceDigest(documents), documents }];
  }
  return [0, 1].flatMap((half) => {
    const part = entries.filter((entry) => hash32(qualifiedName(entry), level) % 2 === half);
    return part.length > 0 ? makePieces(`${slot}.${half}`, part, level + 1) : [];
  });
}

/**
 * Splits documents into pieces. The result does not depend on the order of the documents.
 * @param documents - documents of a whole revision
 * @returns the pieces, ordered by slot; slots without documents have none
 */
export function splitIntoPieces(documents: Documents): readonly Piece[] {
  const slots = new Map<number, Entry[]>();
  [...entriesOf(documents, 0)].sort(compareEntries).forEach((entry) => {
    const slot = hash32(qualifiedName(entry)) % SLOT_COUNT;
    const list = slots.get(slot) ?? [];
    list.push(entry);
    slots.set(slot, list);
  });
  return [...slots.entries()]
    .sort(([a], [b]) => a - b)
    .flatMap(([slot, entries]) => makePieces(String(slot), entries, 1));
}
