/** How long the requests of each route last, from those that were answered. */

/** Weight of a new value: some tens of requests make a mean. */
const SMOOTHING_WEIGHT = 0.05;

/** Mean deviations above the mean that nearly every request stays below. */
const DEVIATIONS = 4;

interface RouteDuration {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** Keeps the durations. */
export class Durations {
  readonly #byRoute = new Map<string, RouteDuration>();

  /**
   * Takes note of an answered request.
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
   * Gives the time that a request is likely to last at most.
   * @param route - name of its route
   * @param boundMs - time after which it is ended in any case, in milliseconds
   * @returns milliseconds; the bound while nothing is known
   */
  upperBoundMs(route: string, boundMs: number): number {
    const known = this.#byRoute.get(route);
    if (!known) return boundMs;
    return Math.min(boundMs, known.meanMs + known.deviationMs * DEVIATIONS);
  }
}
