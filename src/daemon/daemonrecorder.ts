/** Creates the recorder of a process: log, metrics and timeline. */
import { StatsD } from 'hot-shots';
import { pino } from 'pino';

import type { EventEmitter } from 'node:events';

import type { DestinationStream, Logger } from 'pino';
import { MIB_BYTES, newIncarnation, SystemClock } from '../kernel/index.js';
import { EVENTS, Recorder } from '../telemetry/index.js';
import { splitAddress } from './settings.js';

import type { Settings } from './settings.js';

/** Size of the log buffer in bytes; lines are dropped when a slow reader lets it fill up. */
const LOG_BUFFER_BYTES = 4 * MIB_BYTES;

/** File descriptor of standard output. */
const STDOUT_FD = 1;

/** Settings of a recorder. */
export type RecordingSettings = Pick<Settings, 'dataCentre' | 'instance' | 'logLevel' | 'metrics'>;

function makeMetrics(settings: RecordingSettings): StatsD | undefined {
  // Without an address no client is created: its mock mode would keep all metrics in memory.
  if (settings.metrics === undefined) return undefined;
  const { host, port } = splitAddress(settings.metrics);
  return new StatsD({
    host,
    port,
    prefix: 'comfreyreel.',
    globalTags: { instance: settings.instance, data_centre: settings.dataCentre },
    errorHandler: () => undefined,
  });
}

/** Logs the number of dropped lines once the reader accepts lines again. */
function logDroppedLines(output: DestinationStream & EventEmitter, logger: Logger): void {
  let dropped = 0;
  output.on('drop', () => {
    dropped += 1;
  });
  output.on('drain', () => {
    if (dropped === 0) return;
    const { number, text } = EVENTS.linesDropped;
    logger.warn({ event: number, facts: { dropped } }, text);
    dropped = 0;
  });
}

/**
 * Creates the recorder of a process that has just started.
 * @param settings - checked settings
 * @returns the recorder, whose source is a new incarnation of the instance
 */
export function makeRecorder(settings: RecordingSettings): Recorder {
  // Asynchronous, so that a stalled log reader does not block the process.
  const output = pino.destination({ dest: STDOUT_FD, sync: false, maxLength: LOG_BUFFER_BYTES });
  const logger = pino({ level: settings.logLevel, base: { instance: settings.instance } }, output);
  logDroppedLines(output, logger);
  const self = newIncarnation(settings.instance);
  // Blocking is acceptable, since this is called just before the process exits.
  // eslint-disable-next-line n/no-sync
  const flush = (): void => output.flushSync();
  return new Recorder(self, new SystemClock(), {
    logger,
    metrics: makeMetrics(settings),
    flush,
  });
}
