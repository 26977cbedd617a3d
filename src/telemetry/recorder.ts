/** Records numbered events: log line, metric and time line in one call. */
import type { StatsD } from 'hot-shots';
import type { Logger } from 'pino';
import { HybridClock } from '../kernel/index.js';
import { EVENTS } from './events.js';
import { Timeline } from './timeline.js';

import type { Clock, Incarnation } from '../kernel/index.js';
import type { EventName } from './events.js';
import type { EventSubject } from './timeline.js';

/** Events kept in memory by one daemon. */
const TIMELINE_CAPACITY = 20_000;

/** Where a recorder writes. */
export interface RecorderSinks {
  readonly logger: Logger;
  /** Absent without a receiver of metrics. */
  readonly metrics: StatsD | undefined;
  /** Writes what the logger has buffered; absent where nothing is. */
  readonly flush?: () => void;
}

/** Writes each event to the log, the metrics and the time line. */
export class Recorder {
  readonly clock: HybridClock;

  readonly timeline = new Timeline(TIMELINE_CAPACITY);

  /**
   * Creates the recorder of one process.
   * @param source - incarnation of the process
   * @param clock - wall clock
   * @param sinks - logger and metrics client
   */
  constructor(
    readonly source: Incarnation,
    clock: Clock,
    private readonly sinks: RecorderSinks,
  ) {
    this.clock = new HybridClock(clock);
  }

  /**
   * Records an event.
   * @param name - name in the catalogue
   * @param subject - what the event is about
   */
  record(name: EventName, subject: EventSubject = {}): void {
    const kind = EVENTS[name];
    const stamp = this.clock.next();
    this.timeline.add({ stamp, source: this.source, number: kind.number, name, subject });
    this.sinks.logger[kind.level]({ event: kind.number, ...subject }, kind.text);
    this.sinks.metrics?.increment(`event.${name}`);
  }

  /** Writes the rest of the log before the process ends. */
  flush(): void {
    this.sinks.flush?.();
  }
}
