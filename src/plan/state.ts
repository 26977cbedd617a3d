/** Stored state of a plan, and its changes by operators' commands. */
import * as z from 'zod';

import { orderKindSchema, planDocumentSchema } from './document.js';

import type { Incarnation } from '../kernel/index.js';
import type { UpdateDecision } from '../store/index.js';
import type { PlanDocument } from './document.js';

/** Prefix of the object keys of all plans. */
export const PLAN_KEY_PREFIX = 'plans/';

/** Schema of one order of a plan. */
const planOrderSchema = z
  .object({
    order: orderKindSchema,
    /**
     * "intended" is recorded before the order is sent; "confirmed" after the upstream has listed the
     * order as carried out.
     */
    state: z.enum(['pending', 'intended', 'confirmed']),
    /** Fencing number with which the order was last sent. */
    fence: z.number().int(),
  })
  .readonly();

/** Schema of the final account of a closed workspace. */
const closingSchema = z
  .object({
    /** Key of the object with the closing statement. */
    statement: z.string(),
    charges: z.number().int(),
    units: z.number().int(),
    /** Units that were paid but not spent, and are to be refunded. */
    refund: z.number().int(),
  })
  .readonly();

/** Schema of the stored state of a plan. */
export const planStateSchema = z
  .object({
    document: planDocumentSchema,
    /**
     * "declared": some daemons may not know the plan. "armed": every daemon knows it.
     * "leaving": accepted, no new requests. "ordering": open requests have ended, orders are sent.
     */
    phase: z.enum(['declared', 'armed', 'leaving', 'ordering', 'done', 'abandoned']),
    /** Whether an operator has started the plan. */
    started: z.boolean(),
    paused: z.boolean(),
    /** Operation ids of the operators' commands, to detect a repeated command. */
    operations: z.array(z.string()).readonly(),
    /** Incarnation of the daemon that executes the plan. */
    executor: z.string(),
    /** Increases when another daemon takes over the execution. */
    term: z.number().int(),
    /** Heartbeat counter of the executor. */
    beat: z.number().int(),
    /** Milliseconds since the epoch; null before the plan was accepted. */
    acceptedAt: z.number().nullable(),
    orders: z.array(planOrderSchema).readonly(),
    /** Description of what the plan waits for, shown to operators. */
    waitsFor: z.string(),
    closing: closingSchema.nullable(),
  })
  .readonly();

/** Stored state of a plan. */
export type PlanState = z.infer<typeof planStateSchema>;
/** One order of a plan. */
export type PlanOrder = z.infer<typeof planOrderSchema>;
/** Phase of a plan. */
export type PlanPhase = PlanState['phase'];

/** A plan with the version of its object in the store. */
export interface StoredPlan {
  readonly version: number;
  readonly plan: PlanState;
}

/**
 * Returns the object key of a plan.
 * @param name - plan name
 * @returns the object key
 */
export function planKey(name: string): string {
  return `${PLAN_KEY_PREFIX}${name}`;
}

/**
 * Creates the initial state of a published plan.
 * @param document - the published plan
 * @param executor - daemon that will execute it
 * @returns the state in phase "declared"
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
 * Returns whether a plan is final.
 * @param plan - the plan
 * @returns true if it is done or abandoned
 */
export function isFinal(plan: PlanState): boolean {
  return plan.phase === 'done' || plan.phase === 'abandoned';
}

/**
 * Returns whether new requests are refused for the upstream or workspace of a plan.
 * @param plan - the plan
 * @returns true if the plan was accepted and not abandoned
 */
export function refusesNewWork(plan: PlanState): boolean {
  return plan.phase === 'leaving' || plan.phase === 'ordering' || plan.phase === 'done';
}

/** Command that an operator can give for a plan. */
export type PlanAction = 'start' | 'pause' | 'resume' | 'abandon';

/** An operator's command for a plan, with its operation id. */
export interface PlanActionRequest {
  readonly action: PlanAction;
  readonly operation: string;
}

/** Result of an operator's command. */
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

/** Returns whether an order may have reached the upstream; the plan can then no longer be abandoned. */
function mayHaveSentOrder(plan: PlanState): boolean {
  return plan.orders.some(({ state }) => state !== 'pending');
}

/**
 * Applies an operator's command, once per operation id.
 * @param plan - current state of the plan; null if the plan is unknown
 * @param request - the command
 * @returns the change to store, and the result of the command
 */
export function applyPlanAction(
  plan: PlanState | null,
  request: PlanActionRequest,
): UpdateDecision<PlanState | null, PlanActionResult> {
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
 * Parses a stored plan.
 * @param value - stored value; null if the object does not exist
 * @returns the plan; null if the object does not exist
 * @throws ZodError if the value is not a plan
 */
export function parsePlan(value: unknown): PlanState | null {
  return value === null ? null : planStateSchema.parse(value);
}
