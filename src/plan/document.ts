/** Plan documents, published by operators: how an upstream or a workspace is taken out of service. */
import * as z from 'zod';

import { nameSchema } from '../kernel/index.js';

const timeSchema = z.iso.datetime({ error: 'expected a time such as "2026-12-31T18:00:00Z"' });

/** Schema of the orders that a leaving upstream can receive after its open requests have ended. */
export const orderKindSchema = z.enum(['unload', 'standby', 'stop']);

/** Schema of a plan that takes an upstream out of service. */
export const upstreamPlanSchema = z
  .strictObject({
    kind: z.literal('upstream'),
    name: nameSchema,
    upstream: nameSchema,
    /** Time at which the plan starts automatically; absent if only an operator's command starts it. */
    from: timeSchema.optional(),
    /** Orders to send, in sequence. */
    orders: z.array(orderKindSchema).readonly().default(['unload']),
  })
  .readonly();

/** Schema of a plan that closes a workspace. */
export const workspacePlanSchema = z
  .strictObject({
    kind: z.literal('workspace'),
    name: nameSchema,
    workspace: nameSchema,
    /** Time at which the workspace closes; absent if only an operator's command closes it. */
    from: timeSchema.optional(),
  })
  .readonly();

/** Schema of a plan document. */
export const planDocumentSchema = z.discriminatedUnion('kind', [
  upstreamPlanSchema,
  workspacePlanSchema,
]);

/** Kind of an order to an upstream. */
export type OrderKind = z.infer<typeof orderKindSchema>;
/** A plan that takes an upstream out of service. */
export type UpstreamPlan = z.infer<typeof upstreamPlanSchema>;
/** A published plan. */
export type PlanDocument = z.infer<typeof planDocumentSchema>;
