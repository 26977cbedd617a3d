/** Model requests in the chat completion format of the callers. */
import * as z from 'zod';

import { Err, failure, Ok } from '../kernel/index.js';

import type { Route } from '../config/index.js';
import type { Failure, Result } from '../kernel/index.js';

/** Maximum number of tokens that a chat template adds to each message. */
const TEMPLATE_TOKENS_PER_MESSAGE = 8;

/** Schema of a chat completion request; unknown fields are ignored. */
export const chatRequestSchema = z
  .object({
    model: z.string(),
    messages: z
      .array(z.object({ role: z.string(), content: z.string() }).readonly())
      .min(1)
      .readonly(),
    stream: z.boolean().default(false),
    max_tokens: z.number().int().positive().optional(),
  })
  .readonly();

/** A chat completion request. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/**
 * Parses the body of a chat completion request.
 * @param body - parsed JSON
 * @returns the request, or a failure that names the first invalid field
 */
export function parseChatRequest(body: unknown): Result<ChatRequest, Failure> {
  const parsed = chatRequestSchema.safeParse(body);
  if (parsed.success) return Ok(parsed.data);
  const [issue] = parsed.error.issues;
  const where = issue?.path.map(String).join('.') || 'body';
  return Err(failure('malformed-request', `${where}: ${issue?.message ?? 'unreadable'}`));
}

/**
 * Returns the maximum number of output tokens that the router requests from the upstream.
 * @param req - the request
 * @param route - its route
 * @returns tokens
 */
export function outputLimit(req: ChatRequest, route: Route): number {
  return Math.min(req.max_tokens ?? route.defaultOutputTokens, route.maxOutputTokens);
}

/**
 * Returns the maximum units that a request can cost. The number of prompt tokens is bounded by the
 * number of prompt bytes, because each token has at least one byte.
 * @param req - the request
 * @param route - its route
 * @returns units
 */
export function worstCaseUnits(req: ChatRequest, route: Route): number {
  const prompt = req.messages.reduce(
    (sum, { role, content }) =>
      sum + TEMPLATE_TOKENS_PER_MESSAGE + Buffer.byteLength(role) + Buffer.byteLength(content),
    0,
  );
  return prompt + outputLimit(req, route);
}
