/** Lanes: the queues of the routes, one for all routes to the same workers. */
import { AffinityPolicy, LeastLoadPolicy, RouteScheduler } from '../route/index.js';

import type { Route, UpstreamDocument } from '../config/index.js';
import type {
  LoadBalancingPolicy,
  RetryBudget,
  RouteCommand,
  WorkerDocument,
} from '../route/index.js';
import type { ConfigTask } from './configtask.js';

/** What lanes are made from. */
export interface RouteGroupContext {
  readonly config: ConfigTask;
  /** Random numbers in [0, 1). */
  readonly random: () => number;
  /** Live daemons of the fleet, this one included. */
  readonly daemons: () => number;
  /** Whether an upstream may receive new work, by the plans. */
  readonly mayReceive: (upstream: string) => boolean;
  /** Retry budget of the whole daemon. */
  readonly retries: RetryBudget;
}

/** The workers of one or several routes, with the requests that wait for them. */
export interface RouteGroup {
  readonly scheduler: RouteScheduler;
  /** Routes to the same workers share a queue, so that their priorities meet. */
  readonly routes: Map<string, Route>;
  /** Addresses of the workers by upstream name. */
  readonly urls: Map<string, string>;
  readonly policy: LoadBalancingPolicy;
  readonly waiting: Map<string, (command: RouteCommand) => void>;
  documents: readonly WorkerDocument[];
  upstreams: readonly UpstreamDocument[];
  /** Time of the last request, in milliseconds. */
  usedAt: number;
}

/** Owns the lanes of one daemon. */
export class RouteGroups {
  readonly #groups = new Map<string, RouteGroup>();

  /**
   * Creates the lanes; each is made when its route is first used.
   * @param ctx - configuration and what the schedulers decide with
   */
  constructor(private readonly ctx: RouteGroupContext) {}

  /**
   * Lists the lanes.
   * @returns each lane once
   */
  all(): readonly RouteGroup[] {
    return [...new Set(this.#groups.values())];
  }

  /**
   * Lists the upstreams of a route that may receive new work, by the plans.
   * @param route - the route
   * @returns the upstreams
   */
  upstreams(route: Route): readonly UpstreamDocument[] {
    return this.#publishedUpstreams(route).filter(({ name }) => this.ctx.mayReceive(name));
  }

  /**
   * Lists the workers of a lane: the same list as long as nothing changed, so that the pool need
   * not be rebuilt.
   * @param group - the lane
   * @returns every worker that some route of the lane may use
   */
  documents(group: RouteGroup): readonly WorkerDocument[] {
    const mutableGroup = group;
    const upstreams = [...group.routes.values()].flatMap((route) => this.upstreams(route));
    const isSame =
      upstreams.length === group.upstreams.length &&
      upstreams.every((upstream, index) => upstream === group.upstreams[index]);
    if (isSame) return group.documents;
    mutableGroup.upstreams = upstreams;
    upstreams.forEach(({ name, url }) => group.urls.set(name, url));
    const workers = new Map<string, WorkerDocument>();
    upstreams.forEach(({ url, concurrency, state: workerState }) => {
      const known = workers.get(url);
      if (known?.state !== 'serving')
        workers.set(url, { name: url, concurrency, state: workerState });
    });
    mutableGroup.documents = [...workers.values()];
    return mutableGroup.documents;
  }

  /**
   * Lists the workers that a request may not use.
   * @param group - lane of its route
   * @param route - its route
   * @param tried - upstreams that earlier attempts have tried
   * @returns those, and the workers that only other routes of the lane may use
   */
  excludedWorkers(group: RouteGroup, route: Route, tried: readonly string[]): readonly string[] {
    const urls = tried.map((name) => group.urls.get(name) ?? name);
    if (group.routes.size === 1) return urls;
    const own = new Set(this.#servingUrls(route));
    return [...urls, ...group.documents.map(({ name }) => name).filter((url) => !own.has(url))];
  }

  #servingUrls(route: Route): readonly string[] {
    return this.upstreams(route)
      .filter(({ state }) => state === 'serving')
      .map(({ url }) => url);
  }

  /**
   * Gives the lane of a route, shared with the other routes to the very same workers.
   * @param route - the route
   * @returns its lane
   */
  of(route: Route): RouteGroup {
    const known = this.#groups.get(route.name);
    if (known) {
      known.routes.set(route.name, route);
      return known;
    }
    const group = this.#findShared(route) ?? this.#create(route);
    group.routes.set(route.name, route);
    this.#groups.set(route.name, group);
    return group;
  }

  /** The lane of another route of this kind to the very same workers. */
  #findShared(route: Route): RouteGroup | undefined {
    const key = (other: Route): string =>
      this.#publishedUpstreams(other)
        .map(({ url }) => url)
        .sort()
        .join(' ');
    const own = key(route);
    return [...this.#groups.values()].find(({ routes }) =>
      [...routes.values()].some((other) => other.kind === route.kind && key(other) === own),
    );
  }

  #create({ kind }: Route): RouteGroup {
    const { random, daemons, retries } = this.ctx;
    const policy = kind === 'model' ? new AffinityPolicy({ random }) : new LeastLoadPolicy(random);
    const scheduler = new RouteScheduler({ policy, retries, daemons, random });
    const fresh = { routes: new Map(), urls: new Map(), waiting: new Map() };
    return { ...fresh, scheduler, policy, documents: [], upstreams: [], usedAt: 0 };
  }

  #publishedUpstreams(route: Route): readonly UpstreamDocument[] {
    return this.ctx.config.current?.upstreams(route.name) ?? [];
  }
}
