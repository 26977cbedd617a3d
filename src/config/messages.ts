/** Messages between daemons that distribute the configuration. */
import * as z from 'zod';

import { manifestDeltaSchema } from './manifestdelta.js';
import { pieceSchema } from './pieces.js';
import { manifestSchema } from './revision.js';

/** Announces a new revision to another daemon. */
export const announceRevisionSchema = z
  .object({
    type: z.literal('announce-revision'),
    delta: manifestDeltaSchema,
    /** Content of the changed pieces; empty if there are too many to send along. */
    pieces: z.array(pieceSchema).readonly(),
  })
  .readonly();

/** Requests the revision that another daemon has in force. */
export const askRevisionSchema = z.object({ type: z.literal('ask-revision') }).readonly();

/** Reply with the revision that the sender has in force. */
export const revisionInForceSchema = z
  .object({
    type: z.literal('revision-in-force'),
    /** Revision in force; 0 if the sender has none. */
    revision: z.number().int().nonnegative(),
    /** Time since the store last confirmed this revision as its latest, in ms; absent if never. */
    confirmedAgeMs: z.number().nonnegative().optional(),
  })
  .readonly();

/** Requests the manifest that another daemon has in force. */
export const askManifestSchema = z.object({ type: z.literal('ask-manifest') }).readonly();

/** Reply with the manifest in force; null if the sender has none. */
export const manifestInForceSchema = z
  .object({ type: z.literal('manifest-in-force'), manifest: manifestSchema.nullable() })
  .readonly();

/** Requests pieces from another daemon. */
export const askPiecesSchema = z
  .object({ type: z.literal('ask-pieces'), digests: z.array(z.string()).readonly() })
  .readonly();

/** Reply with those of the requested pieces that the sender has in memory. */
export const piecesSchema = z
  .object({ type: z.literal('pieces'), pieces: z.array(pieceSchema).readonly() })
  .readonly();

/** Schemas of all messages of this file. */
export const configMessages = [
  announceRevisionSchema,
  askRevisionSchema,
  revisionInForceSchema,
  askManifestSchema,
  manifestInForceSchema,
  askPiecesSchema,
  piecesSchema,
] as const;
