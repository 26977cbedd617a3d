/** Creates the recorder of a process: log, metrics and timeline. */
import { StatsD } from 'hot-shots';
import { pino } from 'pino';

import { newIncarnation, SystemClock } from '../kernel/index.js';
import { EVENTS, Recorder } from '../telemetry/index.js';
import { LogOutput } from './logoutput.js';
import { splitAddress } from './settings.js';

import type { Settings } from './settings.js';

/** File descriptor of standard output. */
const STDOUT_FD = 1;

/** Standard output; all recorders of a process share it. */
const output = new LogOutput(STDOUT_FD);

process.on('exit', () => output.flush());

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

/**
 * Creates the recorder of a process that has just started.
 * @param settings - checked settings
 * @returns the recorder, whose source is a new incarnation of the instance
 */
export function makeRecorder(settings: RecordingSettings): Recorder {
  // Node.js puts a pipe or socket into non-blocking mode when this property is first read.
  void process.stdout;
  const logger = pino({ level: settings.logLevel, base: { instance: settings.instance } }, output);
  output.onRecovered = (dropped) => {
    const { number, text } = EVENTS.linesDropped;
    logger.warn({ event: number, facts: { dropped } }, text);
  };
  const self = newIncarnation(settings.instance);
  return new Recorder(self, new SystemClock(), {
    logger,
    metrics: makeMetrics(settings),
    flush: () => output.flush(),
  });
}
