/** Identities of instances, of their incarnations and of requests. */
import { randomBytes } from 'node:crypto';
/** Separates the instance name from the random part of an incarnation. */
const SEPARATOR = '~';
/** Random bytes in an incarnation: unique over the life of the fleet. */
const INCARNATION_BYTES = 8;
/** Random bytes in a generated idempotency key. */
const KEY_BYTES = 16;
/**
 * Makes the identity of a daemon process that has just started.
 * @param instance - name of the instance that the process runs on
 * @returns an incarnation that no other process has
 */
export function newIncarnation(instance) {
    return `${instance}${SEPARATOR}${randomBytes(INCARNATION_BYTES).toString('hex')}`;
}
/**
 * Gives the instance that an incarnation runs on.
 * @param incarnation - identity of a daemon process
 * @returns the name of its instance
 */
export function instanceOf(incarnation) {
    const end = incarnation.lastIndexOf(SEPARATOR);
    return end < 0 ? incarnation : incarnation.slice(0, end);
}
/**
 * Makes an idempotency key for a request whose caller gave none.
 * @returns a random key
 */
export function newRequestKey() {
    return randomBytes(KEY_BYTES).toString('hex');
}
//# sourceMappingURL=identity.js.map