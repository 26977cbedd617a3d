/** Messages of the plan aggregate, exchanged between daemons. */
import * as z from 'zod';

import { chargeLineSchema } from '../budget/index.js';
import { planStateSchema } from './state.js';

const pendingLinesSchema = z
  .object({
    shard: z.number().int(),
    /** Highest sequence number that the store has. */
    settled: z.number().int(),
    /** All later lines, without gaps. */
    lines: z.array(chargeLineSchema).readonly(),
  })
  .readonly();

/** A daemon that stops during an outage of the store hands its charge lines over to a peer. */
export const handOverSchema = z
  .object({
    type: z.literal('hand-over'),
    holder: z.string(),
    charges: z.array(pendingLinesSchema).readonly(),
  })
  .readonly();

/** Reply: if accepted, the peer keeps the lines and writes them when the store is available. */
export const handedOverSchema = z
  .object({ type: z.literal('handed-over'), accepted: z.boolean() })
  .readonly();

const storedPlanSchema = z.object({ version: z.number().int(), plan: planStateSchema }).readonly();

/** A daemon asks a peer whether the plans that it knows are the newest. */
export const confirmPlansSchema = z
  .object({
    type: z.literal('confirm-plans'),
    known: z.array(z.object({ name: z.string(), version: z.number().int() }).readonly()).readonly(),
  })
  .readonly();

/** Reply: the peer's newer plans, and the age of its own confirmation. */
export const plansConfirmedSchema = z
  .object({
    type: z.literal('plans-confirmed'),
    /** Milliseconds since the peer last confirmed its plans with the store; null if it never did. */
    ageMs: z.number().nullable(),
    newer: z.array(storedPlanSchema).readonly(),
  })
  .readonly();

/** The executor of a plan asks a daemon whether it knows the plan, and for its open requests. */
export const surveyPlanSchema = z
  .object({ type: z.literal('survey-plan'), plan: z.string(), version: z.number().int() })
  .readonly();

/** Reply to the survey. */
export const planSurveyedSchema = z
  .object({
    type: z.literal('plan-surveyed'),
    /** Whether the daemon applies this version of the plan or a newer one. */
    aware: z.boolean(),
    /**
     * Its open requests for the upstream or workspace of the plan, plus its charges that are not yet
     * in the store.
     */
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

/** Charge lines of one shard that are not yet in the store. */
export type PendingLines = z.infer<typeof pendingLinesSchema>;

/** Charge lines that a stopping daemon hands over to a peer. */
export type HandOver = z.infer<typeof handOverSchema>;
