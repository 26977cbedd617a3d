/** Claims: a non-idempotent request is dispatched only after its claim is durable. */
import { z } from 'zod';
import { sha256 } from '../kernel/index.js';
/** Schema of a claim object. */
export const claimSchema = z
    .object({
    workspace: z.string(),
    key: z.string(),
    /** Incarnation that may dispatch the request. */
    owner: z.string(),
    /** Unique to the attempt that created the claim. */
    attempt: z.string(),
    at: z.number(),
})
    .readonly();
/**
 * Gives the object key of a claim.
 * @param workspace - workspace of the request
 * @param key - its idempotency key
 * @returns the object key
 */
export function claimKey(workspace, key) {
    return `claims/${workspace}/${sha256(key)}`;
}
//# sourceMappingURL=claim.js.map