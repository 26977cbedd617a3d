/** Plan documents: by which steps an upstream or a workspace leaves, as operators publish it. */
import { z } from 'zod';

import { nameSchema } from '../kernel/index.js';

const timeSchema = z.iso.datetime({ error: 'expected a time such as "2026-12-31T18:00:00Z"' });

/** Schema of the orders that a leaving upstream can be given, once its work has ended. */
export const orderKindSchema = z.enum(['unload', 'standby', 'stop']);

/** Schema of the plan by which an upstream leaves. */
export const upstreamPlanSchema = z
  .strictObject({
    kind: z.literal('upstream'),
    name: nameSchema,
    upstream: nameSchema,
    /** When the plan starts by itself; absent to start it by command only. */
    from: timeSchema.optional(),
    /** Orders in the sequence in which they are given. */
    orders: z.array(orderKindSchema).readonly().default(['unload']),
  })
  .readonly();

/** Schema of the plan by which a workspace leaves. */
export const workspacePlanSchema = z
  .strictObject({
    kind: z.literal('workspace'),
    name: nameSchema,
    workspace: nameSchema,
    /** When the workspace closes; absent to close it by command only. */
    from: timeSchema.optional(),
  })
  .readonly();

/** Schema of a plan document. */
export const planDocumentSchema = z.discriminatedUnion('kind', [
  upstreamPlanSchema,
  workspacePlanSchema,
]);

/** An order to an upstream. */
export type OrderKind = z.infer<typeof orderKindSchema>;
/** The plan by which an upstream leaves. */
export type UpstreamPlan = z.infer<typeof upstreamPlanSchema>;
/** A plan as published. */
export type PlanDocument = z.infer<typeof planDocumentSchema>;
