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

/** Longest time for which another daemon's word that an upstream is cold is taken, in milliseconds. */
const MAX_COLD_MS = 60_000;

const coldSpellSchema = z
  .object({
    /** Requests per second that the upstream tolerates. */
    perSecond: z.number().positive(),
    /** Time for which it remains cold, in milliseconds; 0 if that is only suspected. */
    leftMs: z.number().nonnegative().max(MAX_COLD_MS),
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
    /** Missing unless the sender takes the upstream for cold. */
    cold: coldSpellSchema.optional(),
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
    /** Missing unless the sender takes the upstream for cold. */
    cold: coldSpellSchema.optional(),
  })
  .readonly();

/** Tells another daemon which data centres are evacuated; the reply says the same of that daemon. */
export const evacuationsToldSchema = z
  .object({
    type: z.literal('evacuationsTold'),
    /** Missing if the sender does not know the evacuations. */
    report: z
      .object({
        /** Era of the store, and its revision there, at which they were in force. */
        era: z.number().nonnegative(),
        revision: z.number().nonnegative(),
        dataCentres: z.array(z.string()).readonly(),
      })
      .readonly()
      .optional(),
  })
  .readonly();

/** Asks what the store may have lost, of a daemon that was there before. */
export const routingAskedSchema = z.object({ type: z.literal('routingAsked') }).readonly();

/** Reply: what the sender knows, whether the store shows it or not. */
export const routingToldSchema = z
  .object({
    type: z.literal('routingTold'),
    /** Version of the configuration in force; 0 for none. */
    version: z.number().nonnegative(),
    /** Upstreams that leave or have left. */
    left: z.array(z.object({ id: z.string(), startedAt: z.number() }).readonly()).readonly(),
    /** Evacuations that the store lacks, and for how long they are still in force, in milliseconds. */
    evacuations: z
      .array(z.object({ dataCentre: z.string(), leftMs: z.number().nonnegative() }).readonly())
      .readonly(),
  })
  .readonly();

/** Schemas of the messages. */
export const routeMessages = [
  promptSentSchema,
  limitAskedSchema,
  limitAnsweredSchema,
  evacuationsToldSchema,
  routingAskedSchema,
  routingToldSchema,
] as const;
