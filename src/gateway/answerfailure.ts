/** Failure answers of the router itself. */
import { failure, FAILURE_KINDS, formatFailure } from '../kernel/index.js';

import type { Failure } from '../kernel/index.js';
import type { HeaderCodec } from './protocol.js';
import type { CallerReply } from './reply.js';

/** Retry delay after an internal error of this daemon, in milliseconds: another one gets the request. */
const INTERNAL_RETRY_MS = 500;

/**
 * Builds the failure of a request whose handling threw an exception.
 * @param subject - its route or target
 * @param mayHaveRun - whether a part of it was sent to an upstream
 * @returns the failure, which states that the request has not run only if that is certain
 */
export function internalFailure(subject: string, mayHaveRun: boolean): Failure {
  if (mayHaveRun) return failure('internal', subject, 'unknown');
  return { ...failure('internal-not-run', subject), retryAfterMs: INTERNAL_RETRY_MS };
}

/**
 * Answers a caller with a failure of the router itself.
 * @param reply - answer to the caller
 * @param refusal - the failure
 * @param codec - encodes the retry delay
 */
export function answerFailure(reply: CallerReply, refusal: Failure, codec: HeaderCodec): void {
  const headers = refusal.retryAfterMs === undefined ? {} : codec.retryAfter(refusal.retryAfterMs);
  const { status } = FAILURE_KINDS[refusal.code];
  reply.answer(status, headers, JSON.stringify(formatFailure(refusal)));
}
