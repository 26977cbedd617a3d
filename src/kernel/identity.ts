/** Identifiers of instances, of their incarnations and of requests. */
import { randomBytes } from 'node:crypto';

/** Separates the instance name from the random part of an incarnation. */
const SEPARATOR = '~';

/** Random bytes in an incarnation: enough for it to be unique over the lifetime of the fleet. */
const INCARNATION_BYTES = 8;

/** Random bytes in a generated idempotency key. */
const KEY_BYTES = 16;

/** Name of an instance, as in the settings and in the instance list. */
export type InstanceName = string;

/** Identifies one run of a daemon process: the instance name and a random suffix. */
export type Incarnation = string;

/**
 * Generates the incarnation of a daemon process at its start.
 * @param instance - name of the instance that the process runs on
 * @returns an incarnation that is unique to this process
 */
export function newIncarnation(instance: InstanceName): Incarnation {
  return `${instance}${SEPARATOR}${randomBytes(INCARNATION_BYTES).toString('hex')}`;
}

/**
 * Returns the instance that an incarnation runs on.
 * @param incarnation - incarnation of a daemon process
 * @returns the name of its instance
 */
export function instanceOf(incarnation: Incarnation): InstanceName {
  const end = incarnation.lastIndexOf(SEPARATOR);
  return end < 0 ? incarnation : incarnation.slice(0, end);
}

/**
 * Generates an idempotency key for a request without one.
 * @returns a random key
 */
export function newRequestKey(): string {
  return randomBytes(KEY_BYTES).toString('hex');
}
