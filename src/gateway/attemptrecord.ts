/** Records how attempts ended in the metrics, the log and the health of their upstreams. */
import { MISDIRECTED_STATUS } from './protocol.js';

import type { AttemptProgress } from './attemptprogress.js';
import type { SendOutcome } from './serve.js';
import type { RecordContext } from './signalrecord.js';
import type { KnownUpstream } from './upstreampool.js';

/** Status with which an upstream may ask for a pause. */
const PAUSE_STATUS = 503;

/** Outcomes after which an upstream may be down. */
const DOWN_KINDS: ReadonlySet<SendOutcome['kind']> = new Set(['unsent', 'lost', 'cut', 'timeout']);

/** Ends that an upstream causes by ending itself; a time limit is none. */
const UNANSWERED_KINDS: ReadonlySet<SendOutcome['kind']> = new Set(['unsent', 'lost', 'cut']);

/** An attempt that has ended. */
export interface EndedAttempt {
  /** Id of the request. */
  readonly request: string;
  readonly upstream: KnownUpstream;
  readonly outcome: SendOutcome;
  readonly progress: AttemptProgress;
}

/**
 * Records the outcome of an attempt.
 * @param ctx - where it is recorded
 * @param attempt - the attempt
 */
export function recordAttempt(ctx: RecordContext, attempt: EndedAttempt): void {
  const { registry, recorder, metrics, clock } = ctx;
  const { request, outcome, progress } = attempt;
  const { record, stats } = attempt.upstream;
  const now = clock.now();
  const { kind } = outcome;
  metrics.attempts.inc({ end: kind });
  const refusal = registry.refusalReason(record, now);
  if (kind === 'relayed' || kind === 'failed') {
    // An upstream that asks for a pause is sound.
    const isPause = outcome.status === PAUSE_STATUS && refusal === 'paused';
    stats.answered(outcome.status >= 500 && !isPause, now);
    if (kind === 'relayed') return;
  }
  const isMisdirected = kind === 'not-run' && outcome.status === MISDIRECTED_STATUS;
  if (kind === 'left' || kind === 'stopped' || (kind === 'not-run' && !isMisdirected)) return;
  const isDown = isMisdirected || DOWN_KINDS.has(kind);
  // It may have started again, and be cold, before its entry tells.
  if (UNANSWERED_KINDS.has(kind)) registry.warmups.suspect(record, 'unanswered', now);
  const isEjected = isDown && stats.health.recordFailure(now);
  const why = 'why' in outcome ? outcome.why : (refusal ?? '');
  const ending = 'ending' in outcome ? outcome.ending : undefined;
  const facts = {
    kind,
    why,
    open: stats.open,
    isEjected,
    ...(ending && { ending, ...progress.facts(now) }),
    ...('earlier' in outcome && { earlier: outcome.earlier }),
  };
  recorder.record('callAttemptFailed', { request, upstream: record.id, facts });
}
