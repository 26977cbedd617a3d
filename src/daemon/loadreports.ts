/** Follows the load and the cache events of the workers that this daemon sends to. */
import type { Route, UpstreamDocument } from '../config/index.js';
import type { Instance } from '../store/index.js';
import type { LoadSource } from '../upstream/index.js';
import type { ConfigTask } from './configtask.js';
import type { Routing } from './routing.js';

/** Shortest interval between two reports of a worker, in milliseconds. */
const POLL_MS = 500;

/** Reports that one daemon reads in a second; with more workers the interval grows. */
const POLLS_PER_SECOND = 20;

/** Time after its last request for which a route is followed, in milliseconds. */
const ACTIVE_MS = 5_000;

/** Largest fleet in which every daemon follows the workers of every data centre. */
const SMALL_FLEET = 16;

/** What following needs. */
export interface ReportsContext {
  readonly dataCentre: string;
  readonly config: ConfigTask;
  readonly routing: Routing;
  readonly source: LoadSource;
  readonly peers: () => readonly Instance[];
}

/** A worker with its route. */
interface Followed {
  readonly route: Route;
  readonly upstream: UpstreamDocument;
}

/** Polls the workers of the routes that are in use; idle routes cost nothing. */
export class LoadReports {
  readonly #sequences = new Map<string, number>();

  /** Workers whose report is awaited. */
  readonly #pending = new Set<string>();

  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates the task.
   * @param ctx - configuration, routing and the client
   */
  constructor(private readonly ctx: ReportsContext) {}

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
      const followed = this.#followed();
      followed.forEach((entry) => {
        void this.#poll(entry);
      });
      const spreadMs = (followed.length / POLLS_PER_SECOND) * 1_000;
      this.#schedule(Math.max(POLL_MS, spreadMs));
    }, delayMs);
  }

  #followed(): readonly Followed[] {
    const { config, routing, dataCentre, peers } = this.ctx;
    const { current } = config;
    if (!current) return [];
    const everywhere = peers().length < SMALL_FLEET;
    return routing.activeRoutes(ACTIVE_MS).flatMap((route) =>
      current
        .upstreams(route.name)
        .filter((upstream) => everywhere || upstream.dataCentre === dataCentre)
        .map((upstream) => ({ route, upstream })),
    );
  }

  async #poll({ route, upstream }: Followed): Promise<void> {
    const { name, url } = upstream;
    if (this.#pending.has(name)) return;
    this.#pending.add(name);
    const report = await this.ctx.source.read(url, this.#sequences.get(name) ?? 0);
    this.#pending.delete(name);
    if (report.err || this.#timer === undefined) return;
    const { open, ageMs, sequence, stored, evicted } = report.val;
    this.#sequences.set(name, sequence);
    this.ctx.routing.noteCache(route, name, { stored, evicted });
    this.ctx.routing.report(route, name, { open, ageMs });
  }
}
