/** Records numbered events in the log, the metrics and the timeline. */
import type { StatsD } from 'hot-shots';
import type { Logger } from 'pino';
import { HybridClock } from '../kernel/index.js';
import { boundSubject } from './boundedsubject.js';
import { EVENTS } from './events.js';
import { Timeline } from './timeline.js';

import type { Clock, Incarnation } from '../kernel/index.js';
import type { EventName } from './events.js';
import type { EventSubject } from './timeline.js';

/** Number of events that a daemon keeps in memory. */
const TIMELINE_CAPACITY = 20_000;

/** Outputs of a recorder. */
export interface RecorderSinks {
  readonly logger: Logger;
  /** Undefined if no metrics receiver is configured. */
  readonly metrics: StatsD | undefined;
  /** Writes the buffered log lines; absent if the logger does not buffer. */
  readonly flush?: () => void;
}

/** Records events and owns the hybrid logical clock and the timeline of the process. */
export class Recorder {
  readonly clock: HybridClock;

  readonly timeline = new Timeline(TIMELINE_CAPACITY);

  /**
   * Creates the recorder of one process.
   * @param source - incarnation of the process
   * @param clock - wall clock that the hybrid logical clock follows
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
   * @param name - name of the event in the catalogue
   * @param of - what the event is about; long texts are shortened
   */
  record(name: EventName, of: EventSubject = {}): void {
    const kind = EVENTS[name];
    const subject = boundSubject(of);
    const stamp = this.clock.next();
    this.timeline.add({ stamp, source: this.source, number: kind.number, name, subject });
    this.sinks.logger[kind.level]({ event: kind.number, ...subject }, kind.text);
    this.sinks.metrics?.increment(`event.${name}`);
  }

  /** Writes the buffered log lines; to be called before the process exits. */
  flush(): void {
    this.sinks.flush?.();
  }
}
