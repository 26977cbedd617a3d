/** Differences between manifests, which daemons announce instead of whole manifests. */
import * as z from 'zod';

import { manifestSchema } from './revision.js';
import { pieceRefSchema } from './pieces.js';

import type { PieceRef } from './pieces.js';
import type { Manifest } from './revision.js';

/** Schema of a difference between two manifests. */
export const manifestDeltaSchema = z
  .object({
    /** Revision that the difference starts from. */
    base: z.number().int().nonnegative(),
    /** The new manifest without its pieces. */
    header: manifestSchema.unwrap().omit({ pieces: true }).readonly(),
    /** Pieces that are new or changed. */
    changed: z.array(pieceRefSchema).readonly(),
    /** Slots of the base manifest that the new one does not have. */
    removed: z.array(z.string()).readonly(),
  })
  .readonly();

/** Difference between a manifest and a later one. */
export type ManifestDelta = z.infer<typeof manifestDeltaSchema>;

function piecesBySlot(manifest: Manifest): ReadonlyMap<string, PieceRef> {
  return new Map(manifest.pieces.map((piece) => [piece.slot, piece]));
}

/**
 * Computes the difference between two manifests.
 * @param from - earlier manifest
 * @param to - later manifest
 * @returns the difference
 */
export function diffManifests(from: Manifest, to: Manifest): ManifestDelta {
  const before = piecesBySlot(from);
  const after = piecesBySlot(to);
  const { pieces, ...header } = to;
  return {
    base: from.revision,
    header,
    changed: pieces.filter(({ slot, digest }) => before.get(slot)?.digest !== digest),
    removed: [...before.keys()].filter((slot) => !after.has(slot)),
  };
}

function compareSlots(a: PieceRef, b: PieceRef): number {
  return Number.parseInt(a.slot, 10) - Number.parseInt(b.slot, 10) || (a.slot < b.slot ? -1 : 1);
}

/**
 * Applies a difference to a manifest.
 * @param from - manifest that the difference starts from
 * @param delta - the difference
 * @returns the later manifest; undefined if the difference starts from another revision
 */
export function applyDelta(from: Manifest, delta: ManifestDelta): Manifest | undefined {
  if (from.revision !== delta.base) return undefined;
  const replacedSlots = new Set([...delta.removed, ...delta.changed.map(({ slot }) => slot)]);
  const unchangedPieces = from.pieces.filter(({ slot }) => !replacedSlots.has(slot));
  return { ...delta.header, pieces: [...unchangedPieces, ...delta.changed].sort(compareSlots) };
}
