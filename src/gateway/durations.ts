/** Estimates how long the requests of each route last, from those that were answered. */

/** Weight of a new value in the moving averages; with it they cover some tens of requests. */
const SMOOTHING_WEIGHT = 0.05;

/** Number of mean deviations above the mean within which nearly every request ends. */
const DEVIATIONS = 4;

interface RouteDuration {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** Keeps moving averages of the durations by route. */
export class Durations {
  readonly #byRoute = new Map<string, RouteDuration>();

  /**
   * Records an answered request.
   * @param route - name of its route
   * @param tookMs - time from its arrival to its end, in milliseconds
   */
  note(route: string, tookMs: number): void {
    const known = this.#byRoute.get(route);
    if (!known) {
      this.#byRoute.set(route, { meanMs: tookMs, deviationMs: tookMs / DEVIATIONS });
      return;
    }
    const { meanMs, deviationMs } = known;
    this.#byRoute.set(route, {
      meanMs: meanMs + (tookMs - meanMs) * SMOOTHING_WEIGHT,
      deviationMs: deviationMs + (Math.abs(tookMs - meanMs) - deviationMs) * SMOOTHING_WEIGHT,
    });
  }

  /**
   * Returns an upper estimate of the duration of a request.
   * @param route - name of its route
   * @param boundMs - time limit of the request, in milliseconds
   * @returns milliseconds, at most the time limit; the time limit if no request of the route was answered yet
   */
  upperBoundMs(route: string, boundMs: number): number {
    const known = this.#byRoute.get(route);
    if (!known) return boundMs;
    return Math.min(boundMs, known.meanMs + known.deviationMs * DEVIATIONS);
  }
}
