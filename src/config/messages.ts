/** Messages between daemons of the config aggregate. */
import { z } from 'zod';

import { manifestDeltaSchema } from './manifestdelta.js';
import { pieceSchema } from './pieces.js';
import { manifestSchema } from './revision.js';

/** A daemon tells another of a new revision. */
export const announceRevisionSchema = z
  .object({
    type: z.literal('announce-revision'),
    delta: manifestDeltaSchema,
    /** Changed pieces, as far as they are small. */
    pieces: z.array(pieceSchema).readonly(),
  })
  .readonly();

/** A daemon asks another which revision it has in force. */
export const askRevisionSchema = z.object({ type: z.literal('ask-revision') }).readonly();

/** A daemon says which revision it has in force. */
export const revisionInForceSchema = z
  .object({
    type: z.literal('revision-in-force'),
    /** Revision in force; 0 before the first. */
    revision: z.number().int().nonnegative(),
    /** Time since the store was known to have no later one, in milliseconds; absent for never. */
    confirmedAgeMs: z.number().nonnegative().optional(),
  })
  .readonly();

/** A daemon asks another for its manifest. */
export const askManifestSchema = z.object({ type: z.literal('ask-manifest') }).readonly();

/** A daemon gives its manifest; null before the first. */
export const manifestInForceSchema = z
  .object({ type: z.literal('manifest-in-force'), manifest: manifestSchema.nullable() })
  .readonly();

/** A daemon asks another for pieces. */
export const askPiecesSchema = z
  .object({ type: z.literal('ask-pieces'), digests: z.array(z.string()).readonly() })
  .readonly();

/** A daemon gives the pieces that it has. */
export const piecesSchema = z
  .object({ type: z.literal('pieces'), pieces: z.array(pieceSchema).readonly() })
  .readonly();

/** Schemas of the messages. */
export const configMessages = [
  announceRevisionSchema,
  askRevisionSchema,
  revisionInForceSchema,
  askManifestSchema,
  manifestInForceSchema,
  askPiecesSchema,
  piecesSchema,
] as const;
