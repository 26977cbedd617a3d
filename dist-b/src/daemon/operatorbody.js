import { failure, FailureError } from '../kernel/index.js';
/**
 * Reads the body of an operator's order.
 * @param schema - schema of the body
 * @param body - raw body
 * @returns the parsed body
 * @throws FailureError that names the first place that is wrong
 */
export function parseBody(schema, body) {
    const raw = JSON.parse(body.toString());
    const parsed = schema.safeParse(raw);
    if (parsed.success)
        return parsed.data;
    const [issue] = parsed.error.issues;
    const place = issue?.path.map(String).join('.') ?? 'body';
    throw new FailureError(failure('invalid', `${place}: ${issue?.message ?? ''}`));
}
/**
 * Gives the value of a result.
 * @param result - value or failure
 * @returns the value
 * @throws FailureError with the failure
 */
export function unwrap(result) {
    if (result.err)
        throw new FailureError(result.val);
    return result.val;
}
//# sourceMappingURL=operatorbody.js.map