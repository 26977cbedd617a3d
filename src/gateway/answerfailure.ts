/** Answers of the router's own. */
import { FAILURE_KINDS, formatFailure } from '../kernel/index.js';

import type { Failure } from '../kernel/index.js';
import type { HeaderCodec } from './protocol.js';
import type { CallerReply } from './reply.js';

/**
 * Answers with a failure of the router's own.
 * @param reply - the caller
 * @param refusal - the failure
 * @param codec - spells the headers
 */
export function answerFailure(reply: CallerReply, refusal: Failure, codec: HeaderCodec): void {
  const headers = refusal.retryAfterMs === undefined ? {} : codec.retryAfter(refusal.retryAfterMs);
  const { status } = FAILURE_KINDS[refusal.code];
  reply.answer(status, headers, JSON.stringify(formatFailure(refusal)));
}
