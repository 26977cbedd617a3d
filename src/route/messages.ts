/** Messages between daemons of the route aggregate. */
import { z } from 'zod';

/** A daemon has sent a long prompt to an upstream; load reports show it late. */
export const promptSentSchema = z
  .object({
    type: z.literal('promptSent'),
    /** Id of the upstream. */
    upstream: z.string(),
    /** Prompt tokens that the upstream probably has to read. */
    tokens: z.number().nonnegative(),
  })
  .readonly();

/** Schemas of the messages. */
export const routeMessages = [promptSentSchema] as const;
