/** Groups of routes that lead to the same workers; the routes of a group share one queue. */
import { AffinityPolicy, LeastLoadPolicy, RouteScheduler } from '../route/index.js';

import type { Route, UpstreamDocument } from '../config/index.js';
import type {
  LoadBalancingPolicy,
  RetryBudget,
  RouteCommand,
  WorkerDocument,
} from '../route/index.js';
import type { ConfigTask } from './configtask.js';

/** Dependencies of the route groups. */
export interface RouteGroupContext {
  readonly config: ConfigTask;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Returns the number of live daemons of the fleet, including this one. */
  readonly daemons: () => number;
  /** Whether the plans allow an upstream to receive new requests. */
  readonly mayReceive: (upstream: string) => boolean;
  /** Retry budget, shared by all routes of the daemon. */
  readonly retries: RetryBudget;
}

/** The workers of one or more routes, with the requests that are queued for them. */
export interface RouteGroup {
  readonly scheduler: RouteScheduler;
  /** Routes by name. They share a queue so that their priorities are compared with each other. */
  readonly routes: Map<string, Route>;
  /** Worker addresses by upstream name. */
  readonly urls: Map<string, string>;
  readonly policy: LoadBalancingPolicy;
  /** Resolvers of the requests without a decision, by ticket id. */
  readonly waiting: Map<string, (command: RouteCommand) => void>;
  /** Workers as last passed to the scheduler. */
  documents: readonly WorkerDocument[];
  /** Upstreams from which `documents` was built. */
  upstreams: readonly UpstreamDocument[];
  /** Time of the last request, in milliseconds on the monotonic clock. */
  usedAt: number;
}

/** Holds the route groups of one daemon. */
export class RouteGroups {
  readonly #groups = new Map<string, RouteGroup>();

  /**
   * Creates an empty set; a group is created when one of its routes is first used.
   * @param ctx - configuration and the dependencies of the schedulers
   */
  constructor(private readonly ctx: RouteGroupContext) {}

  /**
   * Lists the groups.
   * @returns each group once
   */
  all(): readonly RouteGroup[] {
    return [...new Set(this.#groups.values())];
  }

  /**
   * Lists the upstreams of a route to which the plans allow new requests.
   * @param route - the route
   * @returns the upstreams
   */
  upstreams(route: Route): readonly UpstreamDocument[] {
    return this.#publishedUpstreams(route).filter(({ name }) => this.ctx.mayReceive(name));
  }

  /**
   * Lists the workers of a group. Returns the same array while nothing has changed, so that the
   * scheduler does not rebuild its pool.
   * @param group - the route group
   * @returns every worker that at least one route of the group may use
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
   * @param group - group of its route
   * @param route - its route
   * @param tried - names of the upstreams that earlier attempts have tried
   * @returns the workers already tried, and the workers that only other routes of the group may use
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
   * Returns the group of a route; it is created when no group has exactly the same workers.
   * @param route - the route
   * @returns its group
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

  /** Finds the group of another route of the same kind that leads to exactly the same workers. */
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
