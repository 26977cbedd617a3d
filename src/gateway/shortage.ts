/** Answers callers for whose requests no upstream is available, so that they return when one probably is. */

/** Upstreams of a service that are in use. */
export interface UpstreamSupply {
  /** Number of upstreams that are registered and do not leave, including paused ones. */
  readonly registered: number;
  /** Number of those that have asked for a pause. */
  readonly paused: number;
  /** Time until the first pause ends, in milliseconds; undefined unless every upstream is paused. */
  readonly pauseEndsInMs: number | undefined;
}

/** Shortest time over which returning callers are spread, in milliseconds. */
const MIN_RETURN_SPREAD_MS = 200;

/**
 * Computes the retry delay of a request for which no upstream is available. If every upstream is paused, callers
 * return after the first pause has ended. The longer the pause lasts, the more callers are refused, so they are spread
 * over as much time after it.
 * @param supply - upstreams of the service
 * @param otherwiseMs - delay if not every upstream is paused, in milliseconds
 * @param draw - random number in [0, 1)
 * @returns milliseconds
 */
export function retryDelayMs(
  { pauseEndsInMs }: UpstreamSupply,
  otherwiseMs: number,
  draw: number,
): number {
  if (pauseEndsInMs === undefined) return otherwiseMs;
  return pauseEndsInMs + draw * Math.max(MIN_RETURN_SPREAD_MS, pauseEndsInMs);
}
