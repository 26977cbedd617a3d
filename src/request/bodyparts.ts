/** Keeps the parts of a body as they arrive. */

/** Keeps the parts of one body, without a second copy if its length is known. */
export class BodyParts {
  #whole: Buffer | undefined;

  #parts: Buffer[] = [];

  #size = 0;

  /**
   * Creates an empty body.
   * @param lengthBytes - its length in bytes, if it is known
   */
  constructor(private readonly lengthBytes: number | undefined) {}

  /**
   * Adds a part.
   * @param part - the next part
   */
  add(part: Buffer): void {
    const { lengthBytes } = this;
    if (lengthBytes !== undefined && lengthBytes > part.length) {
      this.#whole ??= Buffer.allocUnsafeSlow(lengthBytes);
      part.copy(this.#whole, this.#size);
    } else this.#parts.push(part);
    this.#size += part.length;
  }

  /** The body; undefined if it is empty. */
  get bytes(): Buffer | undefined {
    if (this.#size === 0) return undefined;
    const [first] = this.#parts;
    return this.#whole ?? (this.#parts.length === 1 ? first : Buffer.concat(this.#parts));
  }
}
