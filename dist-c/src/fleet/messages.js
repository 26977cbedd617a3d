/** Messages between a holder and its backup. */
import { z } from 'zod';
import { chargeLineSchema } from '../budget/index.js';
/** A holder hands charge lines to its backup. */
export const copyLinesSchema = z
    .object({
    type: z.literal('copy-lines'),
    holder: z.string(),
    shard: z.number().int(),
    lines: z.array(chargeLineSchema).readonly(),
    /** Highest sequence that the store holds: copies up to it may be dropped. */
    settled: z.number().int(),
})
    .readonly();
/** The backup holds the lines, or refuses a holder that it has fenced. */
export const linesCopiedSchema = z
    .object({ type: z.literal('lines-copied'), accepted: z.boolean() })
    .readonly();
/** Messages of the fleet aggregate. */
export const fleetMessages = [copyLinesSchema, linesCopiedSchema];
//# sourceMappingURL=messages.js.map