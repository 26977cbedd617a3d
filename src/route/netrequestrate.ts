/** Net flow of requests into a pool, to judge what other daemons have sent since the last reports. */

/** Time over which the flow is averaged, in milliseconds. */
const AVERAGING_MS = 1_000;

/** Averages how many more requests begin than end at this daemon. */
export class NetRequestRate {
  #perMs = 0;

  #updatedAt = 0;

  /**
   * Takes note of a request that begins or ends.
   * @param change - 1 when it begins, -1 when it ends
   * @param now - time in milliseconds
   */
  count(change: 1 | -1, now: number): void {
    this.#perMs = this.perMs(now) + change / AVERAGING_MS;
    this.#updatedAt = now;
  }

  /**
   * Gives the flow.
   * @param now - time in milliseconds
   * @returns requests a millisecond; negative while more end than begin
   */
  perMs(now: number): number {
    return this.#perMs * Math.exp((this.#updatedAt - now) / AVERAGING_MS);
  }
}
