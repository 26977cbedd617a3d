/** Failure answers of the router itself. */
import { failure, FAILURE_KINDS, formatFailure } from '../kernel/index.js';

import type { Failure, FailureCode } from '../kernel/index.js';
import type { HeaderCodec } from './protocol.js';
import type { CallerReply } from './reply.js';

/** Remedies of failures of which it is certain that the request has not run. */
const REMEDIES: Partial<Record<FailureCode, string>> = {
  'unknown-key': 'send an API key of the configuration in force',
  'unknown-route': 'use a host and a path of the configuration in force',
  'body-too-large': 'send a shorter body, or raise the body limit of the configuration',
  'budget-exhausted': 'raise the prepaid units of the workspace, or send a smaller request',
};

/** Remedy of a refusal that states a retry delay. */
const REPEAT_LATER = 'repeat the request after the delay in retry-after';

/** Remedy of a failure after which the request may run again. */
const REPEAT = 'repeat the request';

/** Remedy of a failure after which the request may have run and must not run twice. */
const CHECK_FIRST = 'the request may have run: check at the service before repeating it';

/** The remedy of a failure; callers of pass-through routes send no idempotency key that would make a repeat safe. */
function remedyOf({ code, outcome, retryAfterMs }: Failure, mayRepeat: boolean): string {
  const repeat = retryAfterMs === undefined ? REPEAT : REPEAT_LATER;
  if (outcome === 'not-run') return REMEDIES[code] ?? repeat;
  return mayRepeat ? REPEAT : CHECK_FIRST;
}

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
 * @param mayRepeat - whether the request may run more than once
 */
export function answerFailure(
  reply: CallerReply,
  refusal: Failure,
  codec: HeaderCodec,
  mayRepeat = false,
): void {
  const headers = refusal.retryAfterMs === undefined ? {} : codec.retryAfter(refusal.retryAfterMs);
  const { status } = FAILURE_KINDS[refusal.code];
  const body = formatFailure(refusal, remedyOf(refusal, mayRepeat));
  reply.answer(status, headers, JSON.stringify(body));
}
