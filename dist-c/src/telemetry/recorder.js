import { HybridClock } from '../kernel/index.js';
import { EVENTS } from './events.js';
import { Timeline } from './timeline.js';
/** Events kept in memory by one daemon. */
const RING_EVENTS = 20_000;
/** Writes each event to the log, the metrics and the time line. */
export class Recorder {
    source;
    sinks;
    clock;
    timeline = new Timeline(RING_EVENTS);
    /**
     * Creates the recorder of one process.
     * @param source - incarnation of the process
     * @param clock - wall clock
     * @param sinks - logger and metrics client
     */
    constructor(source, clock, sinks) {
        this.source = source;
        this.sinks = sinks;
        this.clock = new HybridClock(clock);
    }
    /**
     * Records an event.
     * @param name - name in the catalogue
     * @param subject - what the event is about
     */
    record(name, subject = {}) {
        const kind = EVENTS[name];
        const stamp = this.clock.next();
        this.timeline.add({ stamp, source: this.source, number: kind.number, name, subject });
        this.sinks.logger[kind.level]({ event: kind.number, ...subject }, kind.text);
        this.sinks.metrics.increment(`event.${name}`);
    }
}
//# sourceMappingURL=recorder.js.map