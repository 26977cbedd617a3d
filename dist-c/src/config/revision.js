/** Revisions: the manifest that puts pieces in force as a whole. */
import { z } from 'zod';
import { sha256 } from '../kernel/index.js';
/** Object key of the manifest. */
export const MANIFEST_KEY = 'config/manifest';
/** Schema of a manifest. */
export const manifestSchema = z
    .object({
    revision: z.number().int().nonnegative(),
    /** Id of the publishing operation that made the revision. */
    operation: z.string(),
    author: z.string(),
    at: z.number(),
    /** Digests of the pieces, in a fixed order. */
    pieces: z.array(z.string()).readonly(),
    /** Budget shards; fixed by the first revision. */
    budgetShards: z.number().int().positive(),
})
    .readonly();
/** Budget shards of a fleet that has published nothing yet. */
export const DEFAULT_BUDGET_SHARDS = 2;
/** The manifest before the first publication. */
export const EMPTY_MANIFEST = {
    revision: 0,
    operation: '',
    author: '',
    at: 0,
    pieces: [],
    budgetShards: DEFAULT_BUDGET_SHARDS,
};
/**
 * Gives the object key of a piece.
 * @param digest - digest of the piece
 * @returns the object key
 */
export function pieceKey(digest) {
    return `config/pieces/${digest}`;
}
/**
 * Makes a piece of documents.
 * @param documents - documents that belong together
 * @returns the piece, named by its content
 */
export function makePiece(documents) {
    return { digest: sha256(JSON.stringify(documents)), documents };
}
/**
 * Reads a stored manifest.
 * @param value - stored value; null where nothing was published
 * @returns the manifest
 * @throws ZodError if the value is not a manifest
 */
export function parseManifest(value) {
    return value === null ? EMPTY_MANIFEST : manifestSchema.parse(value);
}
/**
 * Puts a publication in force, unless another came first.
 * @param manifest - manifest in force
 * @param ask - the publication
 * @returns the change of the manifest and its result
 */
export function publish(manifest, ask) {
    if (manifest.operation === ask.operation) {
        return { kind: 'keep', outcome: { manifest, result: 'repeated' } };
    }
    if (manifest.revision !== ask.base) {
        return { kind: 'keep', outcome: { manifest, result: 'conflict' } };
    }
    const value = {
        revision: manifest.revision + 1,
        operation: ask.operation,
        author: ask.author,
        at: ask.at,
        pieces: ask.pieces,
        budgetShards: manifest.budgetShards,
    };
    return { kind: 'write', value, outcome: { manifest: value, result: 'published' } };
}
//# sourceMappingURL=revision.js.map