/** Answers callers for whose requests no upstream is available, so that they return when one probably is. */

/** Upstreams of a service that are in use. */
export interface UpstreamSupply {
  /** Number of upstreams that are registered, do not leave and are not evacuated, including paused and limited ones. */
  readonly registered: number;
  /** Number of those that have asked for a pause. */
  readonly paused: number;
  /** Number of those that name a limit. */
  readonly limited: number;
  /** Number of other upstreams, in evacuated data centres; missing if there is none. */
  readonly evacuated?: number;
  /**
   * Time until the first pause, or the wait for the next permit, ends, in milliseconds; undefined unless every upstream is
   * paused or limited.
   */
  readonly pauseEndsInMs: number | undefined;
}

/** Shortest delay while upstreams are limited, in milliseconds: many callers return for each permit. */
const MIN_LIMITED_DELAY_MS = 200;

/** Shortest time over which returning callers are spread, in milliseconds. */
const MIN_RETURN_SPREAD_MS = 200;

/**
 * Computes the retry delay of a request for which no upstream is available. If every upstream is paused or limited, callers
 * return after the first pause or wait for a permit has ended. The longer it lasts, the more callers are refused, so they
 * are spread over as much time after it.
 * @param supply - upstreams of the service
 * @param otherwiseMs - delay if not every upstream is paused or limited, in milliseconds
 * @param draw - random number in [0, 1)
 * @returns milliseconds
 */
export function retryDelayMs(
  { limited, pauseEndsInMs }: UpstreamSupply,
  otherwiseMs: number,
  draw: number,
): number {
  if (pauseEndsInMs === undefined) return otherwiseMs;
  const leastMs = limited > 0 ? Math.max(MIN_LIMITED_DELAY_MS, pauseEndsInMs) : pauseEndsInMs;
  return leastMs + draw * Math.max(MIN_RETURN_SPREAD_MS, leastMs);
}
