/** Tells operators that the store has come back from an older copy. */
import type { StoreEra } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { GatewayMetrics } from './metrics.js';

/**
 * Logs and counts the rises of the store's era.
 * @param era - era of the store
 * @param recorder - log and timeline
 * @param metrics - metrics of the daemon
 * @returns ends the watch
 */
export function watchStoreEra(
  era: StoreEra,
  recorder: Recorder,
  metrics: GatewayMetrics,
): () => void {
  return era.onRise(({ before, current }) => {
    metrics.storeEra.set(current);
    metrics.storeRises.inc();
    recorder.record('storeEraRose', { facts: { before, current, rises: era.rises } });
  });
}
