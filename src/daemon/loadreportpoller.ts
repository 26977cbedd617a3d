/** Follows the load and the cache events of the workers that this daemon sends to. */
import type { Route, UpstreamDocument } from '../config/index.js';
import type { Instance } from '../store/index.js';
import type { LoadSource } from '../upstream/index.js';
import type { ConfigTask } from './configtask.js';
import type { Routing } from './routing.js';

/** Shortest interval between two reports of a worker, in milliseconds. */
const POLL_MS = 500;

/** Reports that one daemon reads in a second; with more workers the interval grows. */
const MAX_POLLS_PER_SECOND = 20;

/** Time after its last request for which a route is followed, in milliseconds. */
const ACTIVE_ROUTE_MS = 5_000;

/** Largest fleet in which every daemon follows the workers of every data centre. */
const SMALL_FLEET_DAEMONS = 16;

/** What following needs. */
export interface LoadReportPollerContext {
  readonly dataCentre: string;
  readonly config: ConfigTask;
  readonly routing: Routing;
  readonly source: LoadSource;
  readonly peers: () => readonly Instance[];
}

/** A worker with its route. */
interface PolledWorker {
  readonly route: Route;
  readonly upstream: UpstreamDocument;
}

/** Polls the workers of the routes that are in use; idle routes cost nothing. */
export class LoadReportPoller {
  readonly #sequences = new Map<string, number>();

  /** Workers whose report is awaited. */
  readonly #pending = new Set<string>();

  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates the task.
   * @param ctx - configuration, routing and the client
   */
  constructor(private readonly ctx: LoadReportPollerContext) {}

  /** Begins to follow. */
  start(): void {
    this.#schedule(POLL_MS * Math.random());
  }

  /** Stops. */
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
