/** Logs and counts which upstreams are taken for cold. */
import { LineLimit } from '../telemetry/index.js';

import type { RecordContext } from './signalrecord.js';
import type { Warmups } from './warmups.js';

/** Maximum number of log lines in one period, and the period in milliseconds: a data centre becomes cold at once. */
const COLD_LINES = 20;
const COLD_PERIOD_MS = 10_000;

/**
 * Creates a recorder of upstreams that are taken for cold.
 * @param ctx - log, metrics and time
 * @returns the function that records one
 */
export function coldRecorder({
  recorder,
  metrics,
  clock,
}: Pick<RecordContext, 'recorder' | 'metrics' | 'clock'>): Warmups['onCold'] {
  const lines = new LineLimit(COLD_LINES, COLD_PERIOD_MS);
  return ({ id, startedAt }, why, leftMs) => {
    metrics.coldUpstreams.inc({ why });
    const suppressed = lines.admit(clock.now());
    if (suppressed === undefined) return;
    const facts = { why, leftMs: Math.round(leftMs), startedAt, suppressed };
    recorder.record('upstreamCold', { upstream: id, facts });
  };
}
