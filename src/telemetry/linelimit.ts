/** Limits how many log lines of one kind are written in a period. */

/** Admits a number of lines in each period and counts the others. */
export class LineLimit {
  #periodStart = Number.NEGATIVE_INFINITY;

  #admitted = 0;

  #suppressed = 0;

  /**
   * Creates a limit.
   * @param lines - maximum number of lines in one period
   * @param periodMs - length of a period, in milliseconds
   */
  constructor(
    private readonly lines: number,
    private readonly periodMs: number,
  ) {}

  /**
   * Decides whether a line may be written.
   * @param now - current time, in milliseconds
   * @returns the number of lines suppressed since the last one that was admitted; undefined if this line is suppressed
   */
  admit(now: number): number | undefined {
    if (now - this.#periodStart >= this.periodMs) {
      this.#periodStart = now;
      this.#admitted = 0;
    }
    if (this.#admitted >= this.lines) {
      this.#suppressed += 1;
      return undefined;
    }
    this.#admitted += 1;
    const suppressed = this.#suppressed;
    this.#suppressed = 0;
    return suppressed;
  }
}
