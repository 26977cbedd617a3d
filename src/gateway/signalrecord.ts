/** Applies, logs and counts what upstreams announce in the heads of their answers. */
import { MISDIRECTED_STATUS } from './protocol.js';

import type { Clock } from '../kernel/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { LimitPermits } from './limitpermits.js';
import type { GatewayMetrics } from './metrics.js';
import type { AnswerHead } from './protocol.js';
import type { UpstreamRecord, UpstreamRegistry } from './upstreams.js';

/** Where attempts and what upstreams announce are recorded. */
export interface RecordContext {
  readonly registry: UpstreamRegistry;
  readonly recorder: Recorder;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
}

/** Where signals are recorded. */
export interface SignalContext extends RecordContext {
  readonly limitPermits: LimitPermits;
}

/**
 * Records what an upstream announces in the head of an answer. Nothing is logged that was known before.
 * @param ctx - registry, log and metrics
 * @param record - the upstream that the request was addressed to
 * @param head - head of its answer
 * @param request - id of the request
 * @param sentAt - when it was sent, in milliseconds
 */
export function recordSignals(
  { registry, recorder, metrics, clock, limitPermits }: SignalContext,
  record: UpstreamRecord,
  { status, isLeaving, pauseMs, limitPerSecond: limit }: AnswerHead,
  request: string,
  sentAt: number,
): void {
  const { signals } = registry;
  const now = clock.now();
  // A misdirected request was answered by the upstream that has the address now.
  const speaker = status === MISDIRECTED_STATUS ? registry.otherAt(record) : record;
  if (!speaker) return;
  const { id: upstream, startedAt } = speaker;
  if (limit !== 'unreadable')
    limitPermits.observe(speaker, { limit, at: limit === undefined ? sentAt : now });
  if (isLeaving && signals.recordLeaving(speaker, now)) {
    metrics.leavingUpstreams.inc();
    recorder.record('upstreamLeaving', { request, upstream, facts: { status, startedAt } });
  }
  const endedMs = pauseMs === undefined ? signals.recordAnswer(speaker, now) : undefined;
  if (endedMs !== undefined) {
    const facts = { endedMs: Math.round(endedMs), status, startedAt };
    recorder.record('upstreamResumed', { request, upstream, facts });
  }
  if (pauseMs !== undefined && signals.recordPause(speaker, pauseMs, now)) {
    metrics.pauses.inc();
    const facts = { pauseMs, untilMs: Math.round(signals.pausedUntil(speaker)), startedAt };
    recorder.record('upstreamPaused', { request, upstream, facts });
  }
}
