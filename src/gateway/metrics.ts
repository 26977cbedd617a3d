/** Prometheus metrics of one daemon. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/**
 * Upper bounds of the latency buckets, in seconds: from the duration of a call to the store to that of a
 * long stream.
 */
const LATENCY_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15];

/** Upper bounds of the buckets for delays inside a daemon, in seconds. */
const DELAY_BUCKETS = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2];

/** Metrics of the gateway. */
export class GatewayMetrics {
  readonly #registry = new Registry();

  /** Requests by route and outcome. */
  readonly requests = new Counter({
    name: 'comfreyreel_requests_total',
    help: 'Requests by route and end',
    labelNames: ['route', 'end'],
    registers: [this.#registry],
  });

  /** Attempts at upstreams by outcome. */
  readonly attempts = new Counter({
    name: 'comfreyreel_attempts_total',
    help: 'Attempts at upstreams by end',
    labelNames: ['end'],
    registers: [this.#registry],
  });

  /** Time until the first bytes of an answer. */
  readonly firstByte = new Histogram({
    name: 'comfreyreel_first_byte_seconds',
    help: 'Time from the arrival of a request to the first bytes of its answer',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS,
    registers: [this.#registry],
  });

  /** Time until the end of requests. */
  readonly duration = new Histogram({
    name: 'comfreyreel_request_seconds',
    help: 'Time from the arrival of a request to its end',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS,
    registers: [this.#registry],
  });

  /** Prepaid units that were charged. */
  readonly units = new Counter({
    name: 'comfreyreel_units_total',
    help: 'Prepaid units charged',
    labelNames: ['workspace'],
    registers: [this.#registry],
  });

  /** Shards of prepaid units over eras of the store. */
  readonly allowanceEras = new Counter({
    name: 'comfreyreel_allowance_eras_total',
    help: 'Shards opened in a new era of the store, rows written again, instances given up, draws without a copy',
    labelNames: ['change'],
    registers: [this.#registry],
  });

  /** Connections opened to upstreams. */
  readonly connections = new Counter({
    name: 'comfreyreel_upstream_connections_total',
    help: 'Connections opened to upstreams',
    registers: [this.#registry],
  });

  /** Kept connections that had ended when a request was to be sent on them. */
  readonly endedConnections = new Counter({
    name: 'comfreyreel_upstream_ended_connections_total',
    help: 'Kept connections to upstreams that had ended when a request was to be sent on them',
    registers: [this.#registry],
  });

  /** Upstreams that announced in an answer that they leave. */
  readonly leavingUpstreams = new Counter({
    name: 'comfreyreel_upstream_leaving_total',
    help: 'Upstreams that announced in an answer that they leave',
    registers: [this.#registry],
  });

  /** Pauses that upstreams have asked for. */
  readonly pauses = new Counter({
    name: 'comfreyreel_upstream_pauses_total',
    help: 'Pauses that upstreams have asked for',
    registers: [this.#registry],
  });

  /** Changes of the limits that upstreams name. */
  readonly limitChanges = new Counter({
    name: 'comfreyreel_upstream_limits_total',
    help: 'Limits that upstreams have named, changed and ended',
    labelNames: ['change'],
    registers: [this.#registry],
  });

  /** Permits for requests to upstreams that name a limit. */
  readonly permits = new Counter({
    name: 'comfreyreel_limit_permits_total',
    help: 'Permits that were granted and denied for requests to upstreams that name a limit',
    labelNames: ['end'],
    registers: [this.#registry],
  });

  /** Messages about limits that were sent to other daemons. */
  readonly permitAsks = new Counter({
    name: 'comfreyreel_limit_messages_total',
    help: 'Messages about limits to other daemons, by whether these replied',
    labelNames: ['end'],
    registers: [this.#registry],
  });

  /** Data centres whose upstreams must receive nothing. */
  readonly evacuatedDataCentres = new Gauge({
    name: 'comfreyreel_evacuated_data_centres',
    help: 'Evacuated data centres, as far as this daemon knows',
    registers: [this.#registry],
  });

  /** Changes of the evacuations. */
  readonly evacuationChanges = new Counter({
    name: 'comfreyreel_evacuation_changes_total',
    help: 'Changes of the evacuated data centres, by where this daemon learned of them',
    labelNames: ['source'],
    registers: [this.#registry],
  });

  /** Era of the store. */
  readonly storeEra = new Gauge({
    name: 'comfreyreel_store_era',
    help: 'Era of the store after its last return from an older copy; 0 if this daemon has seen none',
    registers: [this.#registry],
  });

  /** Rises of the era of the store. */
  readonly storeRises = new Counter({
    name: 'comfreyreel_store_rises_total',
    help: 'Returns of the store from an older copy that this daemon has seen',
    registers: [this.#registry],
  });

  /** Changes of beliefs about prompt parts that crash upstreams. */
  readonly suspects = new Counter({
    name: 'comfreyreel_crash_suspects_total',
    help: 'Crashes of upstreams with unanswered requests, and prompt parts rejected, cleared and tried',
    labelNames: ['change'],
    registers: [this.#registry],
  });

  /** Delay of timers, which long synchronous work or a lack of processor time causes. */
  readonly loopDelay = new Histogram({
    name: 'comfreyreel_loop_delay_seconds',
    help: 'Delay of the event loop, sampled ten times a second',
    buckets: DELAY_BUCKETS,
    registers: [this.#registry],
  });

  /** Time from the arrival of a request until it is first sent to an upstream. */
  readonly sendDelay = new Histogram({
    name: 'comfreyreel_send_delay_seconds',
    help: 'Time from the arrival of a request to its first send',
    buckets: DELAY_BUCKETS,
    registers: [this.#registry],
  });

  /** Resident memory of the process. */
  readonly memory = new Gauge({
    name: 'comfreyreel_resident_bytes',
    help: 'Resident memory of the process, sampled ten times a second',
    registers: [this.#registry],
  });

  /** Memory that the process may use. */
  readonly memoryLimit = new Gauge({
    name: 'comfreyreel_memory_limit_bytes',
    help: 'Memory that the process may use',
    registers: [this.#registry],
  });

  /** Requests in progress. */
  readonly open = new Gauge({
    name: 'comfreyreel_open_requests',
    help: 'Requests in progress',
    registers: [this.#registry],
  });

  /**
   * Formats all metrics.
   * @returns the metrics in the text format of Prometheus
   */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Content type of the text. */
  get contentType(): string {
    return this.#registry.contentType;
  }
}
