/** Failure answers of the router itself. */
import { FAILURE_KINDS, formatFailure } from '../kernel/index.js';

import type { Failure } from '../kernel/index.js';
import type { HeaderCodec } from './protocol.js';
import type { CallerReply } from './reply.js';

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
