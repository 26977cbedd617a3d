/** Messages between daemons of the plan aggregate. */
import { z } from 'zod';

import { chargeLineSchema } from '../budget/index.js';
import { planStateSchema } from './state.js';

const pendingLinesSchema = z
  .object({
    shard: z.number().int(),
    /** Highest sequence that the store holds. */
    settled: z.number().int(),
    /** Every later line, without gaps. */
    lines: z.array(chargeLineSchema).readonly(),
  })
  .readonly();

/** A daemon that stops during an outage of the store leaves its lines to a peer. */
export const handOverSchema = z
  .object({
    type: z.literal('hand-over'),
    holder: z.string(),
    charges: z.array(pendingLinesSchema).readonly(),
  })
  .readonly();

/** The peer keeps the lines and delivers them once the store answers. */
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
] as const;

/** Charge lines of one shard that the store does not hold. */
export type PendingLines = z.infer<typeof pendingLinesSchema>;

/** What a stopping daemon leaves to a peer. */
export type HandOver = z.infer<typeof handOverSchema>;
