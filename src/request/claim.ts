/** Claims: a non-idempotent request is dispatched only after its claim has been stored durably. */
import * as z from 'zod';

import { sha256 } from '../kernel/index.js';

/** Schema of a claim object. */
export const claimSchema = z
  .object({
    workspace: z.string(),
    key: z.string(),
    /** Incarnation of the daemon that may dispatch the request. */
    owner: z.string(),
    /** Unique id of the attempt that created the claim. */
    attempt: z.string(),
    at: z.number(),
  })
  .readonly();

/** Exclusive right to dispatch a non-idempotent request. */
export type Claim = z.infer<typeof claimSchema>;

/**
 * Returns the object key of a claim.
 * @param workspace - workspace of the request
 * @param key - its idempotency key
 * @returns the object key
 */
export function claimKey(workspace: string, key: string): string {
  return `claims/${workspace}/${sha256(key)}`;
}
