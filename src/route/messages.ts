/** Messages of the route aggregate, exchanged between daemons. */
import * as z from 'zod';

/** Announces that a daemon has sent a long prompt to an upstream, before load reports show it. */
export const promptSentSchema = z
  .object({
    type: z.literal('promptSent'),
    /** Id of the upstream. */
    upstream: z.string(),
    /** Prompt tokens that are probably not cached at the upstream and have to be processed. */
    tokens: z.number().nonnegative(),
  })
  .readonly();

/** Schemas of the messages. */
export const routeMessages = [promptSentSchema] as const;
