/** What operators put in force for pass-through routes, as plain data. */

/** Whether a request may be sent again after it may have run. */
export type Repeatability = 'idempotent' | 'once' | 'stream';

/** One upstream service of a route with its share of the requests. */
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
  /** Whether a broken stream may go on at another upstream. */
  readonly resumable: boolean;
  /** Longest time that a request is kept, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most to its caller, in milliseconds. */
  readonly targetMs: number;
  /** Longest pause between two events of a stream that is still on time, in milliseconds. */
  readonly targetGapMs: number;
  /** Rank of its requests; 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/** Model runtime of a service's upstreams. */
export interface ModelRuntime {
  /** Tokens that fit into the memory of one upstream. */
  readonly memoryTokens: number;
  /** Output tokens that one event of a stream holds. */
  readonly tokensPerEvent: number;
}

/** A service that upstreams belong to. */
export interface GatewayService {
  readonly name: string;
  readonly model: ModelRuntime | undefined;
}

/** A workspace with its keys and what it has paid for. */
export interface GatewayWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank that goes before the rank of the route; undefined for none. */
  readonly priority: number | undefined;
  /** Prepaid units (tokens); undefined for a workspace without a limit. */
  readonly paidUnits: number | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

/** A whole configuration. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly GatewayRoute[];
  readonly services: readonly GatewayService[];
  /** Undefined where requests carry no keys. */
  readonly workspaces: readonly GatewayWorkspace[] | undefined;
  readonly limits: CallerLimits;
}

/**
 * Gives the time that a request has: the time-out of its route, or less where its caller waits less.
 * @param route - its route
 * @param deadlineMs - time that its caller gives it, in milliseconds; undefined for no bound
 * @returns milliseconds from its arrival
 */
export function timeLimitMs(
  { timeoutMs }: Pick<GatewayRoute, 'timeoutMs'>,
  deadlineMs: number | undefined,
): number {
  return Math.min(timeoutMs, deadlineMs ?? Number.POSITIVE_INFINITY);
}
