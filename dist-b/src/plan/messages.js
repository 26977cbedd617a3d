/** Messages between daemons of the plan aggregate. */
import { z } from 'zod';
import { chargeLineSchema } from '../budget/index.js';
import { planStateSchema } from './state.js';
const shardLinesSchema = z
    .object({ shard: z.number().int(), lines: z.array(chargeLineSchema).readonly() })
    .readonly();
const unitReturnSchema = z
    .object({ holder: z.string(), budget: z.string(), returned: z.number().int() })
    .readonly();
/** A daemon that stops during an outage of the store leaves what it owes to a peer. */
export const handOverSchema = z
    .object({
    type: z.literal('hand-over'),
    holder: z.string(),
    /** Every line that the store does not hold, without gaps. */
    charges: z.array(shardLinesSchema).readonly(),
    /** Counters of units that the holder will not use any more. */
    returns: z.array(unitReturnSchema).readonly(),
})
    .readonly();
/** The peer has taken over and will deliver to the store. */
export const handedOverSchema = z
    .object({ type: z.literal('handed-over'), accepted: z.boolean() })
    .readonly();
const storedPlanSchema = z.object({ version: z.number().int(), plan: planStateSchema }).readonly();
/** A daemon asks a peer to confirm the plans that it knows. */
export const confirmPlansSchema = z
    .object({
    type: z.literal('confirm-plans'),
    known: z.array(z.object({ name: z.string(), version: z.number().int() }).readonly()).readonly(),
})
    .readonly();
/** The peer answers with what is newer, and how old its own confirmation is. */
export const plansConfirmedSchema = z
    .object({
    type: z.literal('plans-confirmed'),
    /** Milliseconds since the store confirmed the peer's plans; null if it never did. */
    ageMs: z.number().nullable(),
    newer: z.array(storedPlanSchema).readonly(),
})
    .readonly();
/** The executor of a plan asks a daemon what it knows and has open. */
export const surveyPlanSchema = z
    .object({ type: z.literal('survey-plan'), plan: z.string(), version: z.number().int() })
    .readonly();
/** The daemon's answer. */
export const planSurveyedSchema = z
    .object({
    type: z.literal('plan-surveyed'),
    /** Whether the daemon acts by this version of the plan, or a newer one. */
    aware: z.boolean(),
    /** Requests that it has open at what the plan names, and charges that are not in the store. */
    open: z.number().int(),
})
    .readonly();
/** Schemas of the messages. */
export const planMessages = [
    handOverSchema,
    handedOverSchema,
    confirmPlansSchema,
    plansConfirmedSchema,
    surveyPlanSchema,
    planSurveyedSchema,
];
//# sourceMappingURL=messages.js.map