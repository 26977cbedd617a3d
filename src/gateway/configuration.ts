/** Configuration of pass-through routes, as plain data. */

/**
 * Whether a request may be sent again after it may have run: only idempotent ones may, and
 * resumable streams.
 */
export type Repeatability = 'idempotent' | 'once' | 'stream';

/** One upstream service of a route and its weight in the traffic split. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** A route: requests of one host below one path. */
export interface GatewayRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  /** Whether a broken stream may be resumed at another upstream. */
  readonly resumable: boolean;
  /** Time limit of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Target for the time to the answer, in milliseconds. */
  readonly targetMs: number;
  /** Target for the longest pause between two events of a stream, in milliseconds. */
  readonly targetGapMs: number;
  /** Priority of its requests; 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Most upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
}

/** Model runtime of a service's upstreams. */
export interface ModelRuntime {
  /** Tokens that fit into the memory of one upstream. */
  readonly memoryTokens: number;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** A service that upstreams belong to. */
export interface GatewayService {
  readonly name: string;
  readonly model: ModelRuntime | undefined;
}

/** A workspace with its API keys and prepaid units. */
export interface GatewayWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Priority that overrides that of the route; undefined for none. */
  readonly priority: number | undefined;
  /** Prepaid units (tokens); undefined for a workspace without a limit. */
  readonly paidUnits: number | undefined;
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
  /** Undefined where requests carry no keys. */
  readonly workspaces: readonly GatewayWorkspace[] | undefined;
  readonly limits: CallerLimits;
}

/**
 * Returns the time limit of a request: the time-out of its route, or the caller's deadline if that is shorter.
 * @param route - its route
 * @param deadlineMs - time that its caller waits, in milliseconds; undefined for no limit
 * @returns milliseconds from its arrival
 */
export function timeLimitMs(
  { timeoutMs }: Pick<GatewayRoute, 'timeoutMs'>,
  deadlineMs: number | undefined,
): number {
  return Math.min(timeoutMs, deadlineMs ?? Number.POSITIVE_INFINITY);
}
