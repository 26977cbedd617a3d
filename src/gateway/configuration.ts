/** Configuration of routes, services and workspaces, as plain data. */

/**
 * Kind of the requests of a route. It decides whether a request that may have run may be sent again:
 * idempotent ones may, others only if the route is resumable.
 */
export type Repeatability = 'idempotent' | 'once' | 'stream';

/** One upstream service of a route and its weight in the traffic split. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** A route, which matches the requests to one host whose path has one prefix. */
export interface GatewayRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  /** Whether a stream that broke off may be resumed at another upstream. */
  readonly resumable: boolean;
  /** Time limit of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Target for the time until the answer, in milliseconds. */
  readonly targetMs: number;
  /** Target for the longest pause between two events of a stream, in milliseconds. */
  readonly targetGapMs: number;
  /** Priority of its requests; 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Maximum number of upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Regions that may serve its requests; empty for any. */
  readonly homes: readonly string[];
}

/** Properties of the model runtime that the upstreams of a service run. */
export interface ModelRuntime {
  /** Tokens that fit into the memory of one upstream. */
  readonly memoryTokens: number;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** What a cold upstream of a service tolerates. */
export interface WarmupRate {
  /** Requests per second from all daemons together. */
  readonly perSecond: number;
  /** Time for which an upstream is cold after its start, in milliseconds. */
  readonly forMs: number;
}

/** A service, which is a group of upstreams. */
export interface GatewayService {
  readonly name: string;
  /** Undefined for a service without a model. */
  readonly model: ModelRuntime | undefined;
  /** Missing if cold upstreams get as many requests as others. */
  readonly warmup?: WarmupRate;
}

/** A workspace with its API keys and prepaid units. */
export interface GatewayWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Priority of its requests instead of that of the route; undefined to use that of the route. */
  readonly priority: number | undefined;
  /** Prepaid units (tokens); undefined for a workspace without a limit. */
  readonly paidUnits: number | undefined;
  /** Regions that may serve its requests; empty for any. */
  readonly homes: readonly string[];
}

/** Limits on callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

/** A complete configuration. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly GatewayRoute[];
  readonly services: readonly GatewayService[];
  /** Undefined if requests carry no API keys. */
  readonly workspaces: readonly GatewayWorkspace[] | undefined;
  readonly limits: CallerLimits;
}

/**
 * Returns the time limit of a request: the timeout of its route, or the time that its caller waits if that is
 * shorter.
 * @param route - its route
 * @param deadlineMs - time that its caller waits, in milliseconds; undefined for no limit
 * @returns time limit from the arrival of the request, in milliseconds
 */
export function timeLimitMs(
  { timeoutMs }: Pick<GatewayRoute, 'timeoutMs'>,
  deadlineMs: number | undefined,
): number {
  return Math.min(timeoutMs, deadlineMs ?? Number.POSITIVE_INFINITY);
}
