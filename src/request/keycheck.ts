/** Decides what an earlier attempt with the same key means for a new one. */
import { failure } from '../kernel/index.js';

import type { Failure } from '../kernel/index.js';
import type { KeyRecord } from './keyrecord.js';

/** What was found out about a key before its request is served. */
export interface KeyFindings {
  /** Newest earlier record; null if no daemon that answered knows the key. */
  readonly earlier: KeyRecord | null;
  /** Whether enough daemons answered to rule an earlier attempt out. */
  readonly certain: boolean;
  /** Whether the owner of a running attempt says that it still runs. */
  readonly running: boolean;
}

/** Findings about a key that this daemon has just made. */
export const UNSEEN_KEY: KeyFindings = { earlier: null, certain: true, running: false };

/**
 * Refuses a request whose key does not allow another attempt now.
 * @param findings - what was found out
 * @param digest - digest of the new body
 * @returns the refusal; undefined if the request may be served
 */
export function refuseKey(findings: KeyFindings, digest: string): Failure | undefined {
  const { earlier, running } = findings;
  if (!earlier) return undefined;
  const subject = `key ${earlier.key}`;
  if (earlier.digest !== digest) return failure('key-reused', subject, 'unknown');
  if (running) return failure('key-in-progress', subject, 'unknown');
  return undefined;
}

/**
 * States the outcome of a refusal: "not-run" only where no attempt with the key was dispatched.
 * @param fail - the refusal of the newest attempt
 * @param findings - what was found out about the key
 * @returns the refusal with an outcome that is true
 */
export function withProvenOutcome(fail: Failure, findings: KeyFindings): Failure {
  if (fail.outcome !== 'not-run') return fail;
  if (!findings.earlier && findings.certain) return fail;
  return { ...fail, outcome: 'unknown' };
}
