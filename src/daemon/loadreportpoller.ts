/** Polls the load reports and cache events of the workers that this daemon dispatches to. */
import type { Route, UpstreamDocument } from '../config/index.js';
import type { Instance } from '../store/index.js';
import type { WorkerReportClient } from '../upstream/index.js';
import type { ConfigTask } from './configtask.js';
import type { Routing } from './routing.js';

/** Shortest interval between two polls of a worker, in milliseconds. */
const POLL_MS = 500;

/** Most polls per second of one daemon; with many workers the interval grows accordingly. */
const MAX_POLLS_PER_SECOND = 20;

/** Time after the last request of a route during which its workers are polled, in milliseconds. */
const ACTIVE_ROUTE_MS = 5_000;

/** Largest fleet, in daemons, in which each one polls the workers of every data centre. */
const SMALL_FLEET_DAEMONS = 16;

/** Dependencies of the load report poller. */
export interface LoadReportPollerContext {
  readonly dataCentre: string;
  readonly config: ConfigTask;
  readonly routing: Routing;
  readonly source: WorkerReportClient;
  readonly peers: () => readonly Instance[];
}

/** A worker to poll, with its route. */
interface PolledWorker {
  readonly route: Route;
  readonly upstream: UpstreamDocument;
}

/** Polls the workers of the routes in use; the workers of idle routes are not polled. */
export class LoadReportPoller {
  readonly #sequences = new Map<string, number>();

  /** Names of the workers with a poll in flight. */
  readonly #pending = new Set<string>();

  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates the task.
   * @param ctx - configuration, routing and client of the load reports
   */
  constructor(private readonly ctx: LoadReportPollerContext) {}

  /** Starts polling, at a random point of the first interval. */
  start(): void {
    this.#schedule(POLL_MS * Math.random());
  }

  /** Stops polling; an answer that arrives later is ignored. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #schedule(delayMs: number): void {
    this.#timer = setTimeout(() => {
      const workers = this.#polledWorkers();
      workers.forEach((entry) => {
        void this.#poll(entry);
      });
      const rateLimitedMs = (workers.length / MAX_POLLS_PER_SECOND) * 1_000;
      this.#schedule(Math.max(POLL_MS, rateLimitedMs));
    }, delayMs);
  }

  #polledWorkers(): readonly PolledWorker[] {
    const { config, routing, dataCentre, peers } = this.ctx;
    const { current } = config;
    if (!current) return [];
    const pollsAllDataCentres = peers().length < SMALL_FLEET_DAEMONS;
    return routing.activeRoutes(ACTIVE_ROUTE_MS).flatMap((route) =>
      current
        .upstreams(route.name)
        .filter((upstream) => pollsAllDataCentres || upstream.dataCentre === dataCentre)
        .map((upstream) => ({ route, upstream })),
    );
  }

  async #poll({ route, upstream }: PolledWorker): Promise<void> {
    const { name, url } = upstream;
    if (this.#pending.has(name)) return;
    this.#pending.add(name);
    const report = await this.ctx.source.read(url, this.#sequences.get(name) ?? 0);
    this.#pending.delete(name);
    if (report.err || this.#timer === undefined) return;
    const { open, ageMs, sequence, stored, evicted } = report.val;
    this.#sequences.set(name, sequence);
    this.ctx.routing.noteCacheEvents(route, name, { stored, evicted });
    this.ctx.routing.noteLoadReport(route, name, { open, ageMs });
  }
}
