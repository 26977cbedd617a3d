/** Composes the recorder of a daemon: log, metrics and time line. */
import { StatsD } from 'hot-shots';
import { pino } from 'pino';

import type { EventEmitter } from 'node:events';

import type { DestinationStream, Logger } from 'pino';
import { MIB_BYTES, newIncarnation, SystemClock } from '../kernel/index.js';
import { EVENTS, Recorder } from '../telemetry/index.js';
import { splitAddress } from './settings.js';

import type { Settings } from './settings.js';

/** Log that may wait for a slow reader before lines are dropped, in bytes. */
const LOG_BUFFER_BYTES = 4 * MIB_BYTES;

/** Descriptor of the standard output. */
const STDOUT_FD = 1;

/** What a recorder needs of the settings. */
export type RecordingSettings = Pick<Settings, 'dataCentre' | 'instance' | 'logLevel' | 'metrics'>;

function makeMetrics(settings: RecordingSettings): StatsD | undefined {
  // The client's own mock would keep every metric in memory.
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

/** Says how many lines were dropped, once the receiver takes lines again. */
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
 * Makes the recorder of a daemon process that has just started.
 * @param settings - checked settings
 * @returns the recorder; its source is the incarnation of the daemon
 */
export function makeRecorder(settings: RecordingSettings): Recorder {
  // A log reader that stalls must not stall the daemon.
  const output = pino.destination({ dest: STDOUT_FD, sync: false, maxLength: LOG_BUFFER_BYTES });
  const logger = pino({ level: settings.logLevel, base: { instance: settings.instance } }, output);
  logDroppedLines(output, logger);
  const self = newIncarnation(settings.instance);
  // The process ends right after this.
  // eslint-disable-next-line n/no-sync
  const flush = (): void => output.flushSync();
  return new Recorder(self, new SystemClock(), {
    logger,
    metrics: makeMetrics(settings),
    flush,
  });
}
