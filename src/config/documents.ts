/** Schemas and types of the configuration documents that operators publish. */
import * as z from 'zod';

import { nameSchema } from '../kernel/index.js';
import { planDocumentSchema } from '../plan/document.js';

/** Schema of a workspace key: only its digest is published. */
export const workspaceKeySchema = z
  .strictObject({
    /** SHA-256 of the key that callers send, in hexadecimal. */
    sha256: z
      .string()
      .regex(/^[0-9a-f]{64}$/, 'expected 64 hexadecimal digits, the SHA-256 of the key'),
    /** Budget that requests with this key are charged to. */
    budget: nameSchema,
  })
  .readonly();

/** Schema of a workspace. */
export const workspaceSchema = z
  .strictObject({
    name: nameSchema,
    state: z.enum(['open', 'closed']).default('open'),
    keys: z.array(workspaceKeySchema).readonly(),
    /** Maximum number of concurrent requests in the whole fleet; absent for no limit. */
    concurrency: z.number().int().positive().optional(),
    /** Maximum number of requests per second in the whole fleet; absent for no limit. */
    requestsPerSecond: z.number().positive().optional(),
  })
  .readonly();

/** Schema of a budget. */
export const budgetDocumentSchema = z
  .strictObject({ name: nameSchema, workspace: nameSchema })
  .readonly();

/** Schema of a route to upstreams. */
export const routeSchema = z
  .strictObject({
    name: nameSchema,
    kind: z.enum(['model', 'service']),
    /** Whether a call may be sent again after it may already have run at an upstream. */
    idempotent: z.boolean().default(true),
    /** Priority class, from the highest to the lowest: "urgent", "normal", "bulk". */
    priority: z.enum(['urgent', 'normal', 'bulk']).default('normal'),
    /** Price of one call to a route of kind "service", in units. */
    unitsPerCall: z.number().int().nonnegative().default(1),
    /** Output limit of model requests that do not set one, in tokens. */
    defaultOutputTokens: z.number().int().positive().default(512),
    /** Highest output limit that a caller may set, in tokens. */
    maxOutputTokens: z.number().int().positive().default(4_096),
    /** Maximum number of retries at other upstreams, after failures that allow one. */
    retries: z.number().int().nonnegative().default(2),
    /** Timeout for the first byte of an answer, in milliseconds. */
    firstByteMs: z.number().int().positive().default(10_000),
    /** Timeout between two chunks of an answer, in milliseconds. */
    silenceMs: z.number().int().positive().default(5_000),
    /** Longest wait in the queue of the route, in milliseconds. */
    queueMs: z.number().int().nonnegative().default(2_000),
  })
  .readonly();

/** Schema of an upstream. */
export const upstreamSchema = z
  .strictObject({
    name: nameSchema,
    route: nameSchema,
    /** Base URL, such as "http://127.0.0.1:9000". */
    url: z.url({
      protocol: /^https?$/,
      error: 'expected a base address such as "http://127.0.0.1:9000"',
    }),
    dataCentre: nameSchema,
    /** An upstream in the state "leaving" receives no new requests. */
    state: z.enum(['serving', 'leaving']).default('serving'),
    /** Whether the upstream rejects orders that carry an outdated fencing number. */
    checksFencing: z.boolean().default(false),
    /** Maximum number of concurrent requests at the upstream. */
    concurrency: z.number().int().positive().default(64),
  })
  .readonly();

/** Schema of one document of each kind, keyed by the name of its list in a service file. */
export const documentSchemas = {
  workspaces: workspaceSchema,
  budgets: budgetDocumentSchema,
  routes: routeSchema,
  upstreams: upstreamSchema,
  plans: planDocumentSchema,
} as const;

/** Schema of all documents of a service file or of a revision. */
export const documentsSchema = z
  .strictObject({
    workspaces: z.array(workspaceSchema).readonly().default([]),
    budgets: z.array(budgetDocumentSchema).readonly().default([]),
    routes: z.array(routeSchema).readonly().default([]),
    upstreams: z.array(upstreamSchema).readonly().default([]),
    plans: z.array(planDocumentSchema).readonly().default([]),
  })
  .readonly();

/** A workspace as published. */
export type Workspace = z.infer<typeof workspaceSchema>;
/** A budget as published. */
export type BudgetDocument = z.infer<typeof budgetDocumentSchema>;
/** A route as published. */
export type Route = z.infer<typeof routeSchema>;
/** An upstream as published. */
export type UpstreamDocument = z.infer<typeof upstreamSchema>;
/** All documents of a service file, a piece or a revision, by kind. */
export type Documents = z.infer<typeof documentsSchema>;

/** The documents of a fleet before its first publication. */
export const EMPTY_DOCUMENTS: Documents = {
  workspaces: [],
  budgets: [],
  routes: [],
  upstreams: [],
  plans: [],
};
