/** Plan state: what the store holds about a plan, and how it may change. */
import { z } from 'zod';

import { orderKindSchema, planDocumentSchema } from './document.js';

import type { Incarnation } from '../kernel/index.js';
import type { Change } from '../store/index.js';
import type { PlanDocument } from './document.js';

/** Start of the keys of all plans. */
export const PLAN_KEY_PREFIX = 'plans/';

/** Schema of one order of a plan. */
const planOrderSchema = z
  .object({
    order: orderKindSchema,
    /** "intended" is recorded before the order is sent; its outcome is then read back. */
    state: z.enum(['pending', 'intended', 'confirmed']),
    /** Fencing number that the order was last sent with. */
    fence: z.number().int(),
  })
  .readonly();

/** Schema of what a workspace is left with. */
const closingSchema = z
  .object({
    /** Object that holds the closing statement. */
    statement: z.string(),
    charges: z.number().int(),
    units: z.number().int(),
    /** Units that were paid, not spent, and are due for refund. */
    refund: z.number().int(),
  })
  .readonly();

/** Schema of a plan in the store. */
export const planStateSchema = z
  .object({
    document: planDocumentSchema,
    /**
     * "declared": some daemons may not know the plan. "armed": every daemon knows it.
     * "leaving": accepted, no new work. "ordering": open work has ended.
     */
    phase: z.enum(['declared', 'armed', 'leaving', 'ordering', 'done', 'abandoned']),
    /** Whether an operator or the date has asked for the start. */
    started: z.boolean(),
    paused: z.boolean(),
    /** Operation ids of the operators' commands, so that a repeat is recognised. */
    operations: z.array(z.string()).readonly(),
    /** Daemon that carries the plan out. */
    executor: z.string(),
    /** Rises when the plan changes hands. */
    term: z.number().int(),
    /** Counts the executor's signs of life. */
    beat: z.number().int(),
    /** Milliseconds since the epoch; null before the plan was accepted. */
    acceptedAt: z.number().nullable(),
    orders: z.array(planOrderSchema).readonly(),
    /** What the plan waits for, for operators. */
    waitsFor: z.string(),
    closing: closingSchema.nullable(),
  })
  .readonly();

/** A plan in the store. */
export type PlanState = z.infer<typeof planStateSchema>;
/** One order of a plan. */
export type PlanOrder = z.infer<typeof planOrderSchema>;
/** How far a plan has come. */
export type PlanPhase = PlanState['phase'];

/** A plan with the version of its object. */
export interface StoredPlan {
  readonly version: number;
  readonly plan: PlanState;
}

/**
 * Gives the object key of a plan.
 * @param name - plan name
 * @returns the object key
 */
export function planKey(name: string): string {
  return `${PLAN_KEY_PREFIX}${name}`;
}

/**
 * Opens a plan that was published.
 * @param document - the plan as published
 * @param executor - daemon that will carry it out
 * @returns the plan, before any daemon is known to know it
 */
export function declarePlan(document: PlanDocument, executor: Incarnation): PlanState {
  const orderKinds = document.kind === 'upstream' ? document.orders : [];
  return {
    document,
    phase: 'declared',
    started: false,
    paused: false,
    operations: [],
    executor,
    term: 1,
    beat: 0,
    acceptedAt: null,
    orders: orderKinds.map((order) => ({ order, state: 'pending', fence: 0 })),
    waitsFor: 'acknowledgement by every daemon',
    closing: null,
  };
}

/**
 * Says whether nothing remains to be done for a plan.
 * @param plan - the plan
 * @returns whether it is done or abandoned
 */
export function isFinal(plan: PlanState): boolean {
  return plan.phase === 'done' || plan.phase === 'abandoned';
}

/**
 * Says whether new work is refused for what the plan names.
 * @param plan - the plan
 * @returns whether the plan was accepted and not abandoned
 */
export function refusesNewWork(plan: PlanState): boolean {
  return plan.phase === 'leaving' || plan.phase === 'ordering' || plan.phase === 'done';
}

/** What operators can order about a plan. */
export type PlanAction = 'start' | 'pause' | 'resume' | 'abandon';

/** An operator's command about a plan. */
export interface PlanActionRequest {
  readonly action: PlanAction;
  readonly operation: string;
}

/** What came of a command. */
export interface PlanActionResult {
  readonly plan: PlanState | null;
  readonly result: 'accepted' | 'repeated' | 'too-late' | 'unknown';
}

function withAction(plan: PlanState, action: PlanAction): PlanState {
  switch (action) {
    case 'start':
      return { ...plan, started: true };
    case 'pause':
      return { ...plan, paused: true };
    case 'resume':
      return { ...plan, paused: false };
    default:
      return { ...plan, phase: 'abandoned' };
  }
}

/** An order may have reached the upstream: it can no longer be abandoned. */
function mayHaveSentOrder(plan: PlanState): boolean {
  return plan.orders.some(({ state }) => state !== 'pending');
}

/**
 * Carries out an operator's command, once for each operation id.
 * @param plan - the plan in force; null for an unknown one
 * @param request - the command
 * @returns the change of the plan and its result
 */
export function applyPlanAction(
  plan: PlanState | null,
  request: PlanActionRequest,
): Change<PlanState | null, PlanActionResult> {
  if (!plan) return { kind: 'keep', outcome: { plan, result: 'unknown' } };
  if (plan.operations.includes(request.operation)) {
    return { kind: 'keep', outcome: { plan, result: 'repeated' } };
  }
  if (isFinal(plan) || (request.action === 'abandon' && mayHaveSentOrder(plan))) {
    return { kind: 'keep', outcome: { plan, result: 'too-late' } };
  }
  const next = withAction(plan, request.action);
  const value = { ...next, operations: [...plan.operations, request.operation] };
  return { kind: 'write', value, outcome: { plan: value, result: 'accepted' } };
}

/**
 * Reads a stored plan.
 * @param value - stored value; null where the object does not exist
 * @returns the plan
 * @throws ZodError if the value is not a plan
 */
export function parsePlan(value: unknown): PlanState | null {
  return value === null ? null : planStateSchema.parse(value);
}
