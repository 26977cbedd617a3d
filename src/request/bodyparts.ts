/** Keeps the parts of a body as they arrive. */
import { KIB_BYTES } from '../kernel/index.js';

/** Least size of a buffer for a body of unknown length, in bytes. */
const MIN_BUFFER_BYTES = 4 * KIB_BYTES;

/** Keeps the parts of one body in one buffer, so that many small parts take no more memory than a large one. */
export class BodyParts {
  /** The only part so far. */
  #first: Buffer | undefined;

  #whole: Buffer | undefined;

  #size = 0;

  /**
   * Creates an empty body.
   * @param lengthBytes - its length in bytes, if it is known
   * @param limitBytes - largest length that is kept, in bytes
   */
  constructor(
    private readonly lengthBytes: number | undefined,
    private readonly limitBytes = Number.POSITIVE_INFINITY,
  ) {}

  /**
   * Adds a part.
   * @param part - the next part
   */
  add(part: Buffer): void {
    const isOnly = this.#size === 0 && part.length >= (this.lengthBytes ?? 0);
    if (isOnly) this.#first = part;
    else {
      const whole = this.#withRoomFor(part.length);
      part.copy(whole, this.#size);
    }
    this.#size += part.length;
  }

  /** The body; undefined if it is empty. */
  get bytes(): Buffer | undefined {
    if (this.#size === 0) return undefined;
    return this.#first ?? this.#whole?.subarray(0, this.#size);
  }

  /** Returns the buffer, made larger if what is added does not fit. */
  #withRoomFor(addedBytes: number): Buffer {
    const needed = this.#size + addedBytes;
    const whole = this.#whole ?? this.#first;
    if (whole && whole !== this.#first && whole.length >= needed) return whole;
    const doubled = Math.max(MIN_BUFFER_BYTES, 2 ** Math.ceil(Math.log2(needed)));
    const capacity = Math.max(needed, this.lengthBytes ?? Math.min(doubled, this.limitBytes));
    const larger = Buffer.allocUnsafeSlow(capacity);
    whole?.copy(larger, 0, 0, this.#size);
    this.#first = undefined;
    this.#whole = larger;
    return larger;
  }
}
