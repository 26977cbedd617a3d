/** Bodies and results of the operators' interface. */
import type { z } from 'zod';

import { failure, FailureError } from '../kernel/index.js';

import type { Failure, Result } from '../kernel/index.js';

/**
 * Reads the body of an operator's order.
 * @param schema - schema of the body
 * @param body - raw body
 * @returns the parsed body
 * @throws FailureError that names the first place that is wrong
 */
export function parseBody<Schema extends z.ZodType>(
  schema: Schema,
  body: unknown,
): z.infer<Schema> {
  const raw: unknown = JSON.parse((body as Buffer).toString());
  const parsed = schema.safeParse(raw);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const path = issue?.path.map(String).join('.') ?? 'body';
  throw new FailureError(failure('invalid', `${path}: ${issue?.message ?? ''}`));
}

/**
 * Gives the value of a result.
 * @param result - value or failure
 * @returns the value
 * @throws FailureError with the failure
 */
export function unwrap<Value>(result: Result<Value, Failure>): Value {
  if (result.err) throw new FailureError(result.val);
  return result.val;
}
