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

const observedLimitSchema = z
  .object({
    /** Requests per second; missing if the upstream names no limit. */
    limit: z.number().nonnegative().optional(),
    /** Age of the observation, in milliseconds. */
    ageMs: z.number().nonnegative(),
  })
  .readonly();

/** Reports the limit of an upstream to the daemon that counts the requests to it, and may ask for a permit for one. */
export const limitAskedSchema = z
  .object({
    type: z.literal('limitAsked'),
    /** Incarnation of the upstream. */
    upstream: z.object({ id: z.string(), startedAt: z.number(), address: z.string() }).readonly(),
    /** Newest observation of the sender; missing if there is none. */
    observed: observedLimitSchema.optional(),
    wantsPermit: z.boolean(),
  })
  .readonly();

/** Reply: whether the request may be sent. */
export const limitAnsweredSchema = z
  .object({
    type: z.literal('limitAnswered'),
    isPermitted: z.boolean(),
    /** Time after which a permit may be asked for again, in milliseconds. */
    waitMs: z.number().nonnegative(),
    /** Newest observation of the sender; missing if there is none. */
    observed: observedLimitSchema.optional(),
  })
  .readonly();

/** Asks a daemon how long a new request would wait for its turn there. */
export const waitAskedSchema = z.object({ type: z.literal('waitAsked') }).readonly();

/** Reply. */
export const waitAnsweredSchema = z
  .object({
    type: z.literal('waitAnswered'),
    /** Expected wait of a new request, in milliseconds. */
    waitMs: z.number().nonnegative(),
  })
  .readonly();

/** Schemas of the messages. */
export const routeMessages = [
  promptSentSchema,
  limitAskedSchema,
  limitAnsweredSchema,
  waitAskedSchema,
  waitAnsweredSchema,
] as const;
