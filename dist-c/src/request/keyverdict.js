/** Decides what an earlier attempt with the same key means for a new one. */
import { failure } from '../kernel/index.js';
/** Findings about a key that this daemon has just made. */
export const FRESH_KEY = { earlier: null, certain: true, running: false };
/**
 * Refuses a request whose key does not allow another attempt now.
 * @param findings - what was found out
 * @param digest - digest of the new body
 * @returns the refusal; undefined if the request may be served
 */
export function refuseKey(findings, digest) {
    const { earlier, running } = findings;
    if (!earlier)
        return undefined;
    const subject = `key ${earlier.key}`;
    if (earlier.digest !== digest)
        return failure('key-reused', subject, 'unknown');
    if (running)
        return failure('key-in-progress', subject, 'unknown');
    return undefined;
}
/**
 * States the outcome of a refusal: "not-run" only where no attempt with the key was dispatched.
 * @param fail - the refusal of the newest attempt
 * @param findings - what was found out about the key
 * @returns the refusal with an outcome that is true
 */
export function honestFailure(fail, findings) {
    if (fail.outcome !== 'not-run')
        return fail;
    if (!findings.earlier && findings.certain)
        return fail;
    return { ...fail, outcome: 'unknown' };
}
//# sourceMappingURL=keyverdict.js.map