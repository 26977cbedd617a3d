/**
 * Net request rate of one daemon. From it the pool estimates what other daemons have sent since the
 * last load reports.
 */

/** Time constant of the moving average, in milliseconds. */
const AVERAGING_MS = 1_000;

/** Exponentially decaying rate of requests begun minus requests ended at this daemon. */
export class NetRequestRate {
  #perMs = 0;

  #updatedAt = 0;

  /**
   * Records a request that begins or ends.
   * @param change - 1 when it begins, -1 when it ends
   * @param now - time in milliseconds
   */
  count(change: 1 | -1, now: number): void {
    this.#perMs = this.perMs(now) + change / AVERAGING_MS;
    this.#updatedAt = now;
  }

  /**
   * Returns the current rate.
   * @param now - time in milliseconds
   * @returns requests per millisecond; negative while more requests end than begin
   */
  perMs(now: number): number {
    return this.#perMs * Math.exp((this.#updatedAt - now) / AVERAGING_MS);
  }
}
