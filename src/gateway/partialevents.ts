/** Limits the memory that the incomplete events of a daemon take together. */

/** Maximum size of all incomplete events, in bytes: that of sixteen of the largest size. */
const MAX_TOTAL_BYTES = 16_777_216;

/** An attempt whose answer has an incomplete event. */
export interface PartialEventHolder {
  /** Ends the attempt, as the incomplete events take too much memory. */
  onTooManyPartials: () => void;
}

/** Knows the sizes of the incomplete events of all attempts. */
export class PartialEvents {
  readonly #sizes = new Map<PartialEventHolder, number>();

  #bytes = 0;

  /** Size of all incomplete events, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Records the size of an attempt's incomplete event. If they are too large together, the attempt with the largest ends.
   * @param holder - the attempt
   * @param bytes - size of its incomplete event; 0 if it has none
   */
  record(holder: PartialEventHolder, bytes: number): void {
    const before = this.#sizes.get(holder) ?? 0;
    if (bytes === before) return;
    this.#bytes += bytes - before;
    if (bytes === 0) this.#sizes.delete(holder);
    else this.#sizes.set(holder, bytes);
    if (this.#bytes > MAX_TOTAL_BYTES) this.#endLargest();
  }

  #endLargest(): void {
    const [largest] = [...this.#sizes].reduce((one, other) => (other[1] > one[1] ? other : one));
    this.record(largest, 0);
    largest.onTooManyPartials();
  }
}
