/** Parses request bodies and unwraps results for the operator controllers. */
import type { z } from 'zod';

import { failure, FailureError } from '../kernel/index.js';

import type { Failure, Result } from '../kernel/index.js';

/**
 * Parses the JSON body of an operator's request.
 * @param schema - schema of the body
 * @param body - raw body
 * @returns the parsed body
 * @throws FailureError that names the first invalid field
 * @throws SyntaxError if the body is not JSON
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
 * Returns the value of a result.
 * @param result - value or failure
 * @returns the value
 * @throws FailureError if the result is a failure
 */
export function unwrap<Value>(result: Result<Value, Failure>): Value {
  if (result.err) throw new FailureError(result.val);
  return result.val;
}
