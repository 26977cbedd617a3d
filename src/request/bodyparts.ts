/** Keeps the parts of a body as they arrive. */
import { KIB_BYTES } from '../kernel/index.js';

/** Least size of a buffer for a body of unknown length, in bytes. */
const MIN_BUFFER_BYTES = 4 * KIB_BYTES;

/** Source of buffers of one size for bodies that are larger than one of them. */
export interface Segments {
  /** Size of a buffer, in bytes. */
  readonly segmentBytes: number;
  /**
   * Takes a buffer. Whoever owns the source takes it back.
   * @returns the buffer, with any content
   */
  readonly takeSegment: () => Buffer;
}

/** Size of a body, and where it is kept. */
export interface BodyPlan {
  /** Its length in bytes, if it is known. */
  readonly lengthBytes: number | undefined;
  /** Largest length that is kept, in bytes; default any. */
  readonly limitBytes?: number;
  /** Buffers for a large body; undefined to keep it in one buffer of its own. */
  readonly segments?: Segments | undefined;
}

/**
 * Keeps the parts of one body: in one buffer, so that many small parts take no more memory than a large one, or in
 * segments once it is larger than one of them.
 */
export class BodyParts {
  /** The only part so far. */
  #first: Buffer | undefined;

  #whole: Buffer | undefined;

  /** Buffers that were taken from the source; all but the last are full. */
  readonly #taken: Buffer[] = [];

  #size = 0;

  /**
   * Creates an empty body.
   * @param plan - its size, and where it is kept
   */
  constructor(private readonly plan: BodyPlan) {}

  /**
   * Adds a part.
   * @param part - the next part
   */
  add(part: Buffer): void {
    const { lengthBytes = 0, segments } = this.plan;
    const knownBytes = Math.max(lengthBytes, this.#size + part.length);
    if (segments && knownBytes > segments.segmentBytes) this.#spread(part, segments);
    else if (this.#size === 0 && part.length >= lengthBytes) this.#first = part;
    else {
      const whole = this.#withRoomFor(part.length);
      part.copy(whole, this.#size);
    }
    this.#size += part.length;
  }

  /** The body in one buffer; undefined if it is empty. */
  get bytes(): Buffer | undefined {
    const { buffers } = this;
    return buffers.length > 1 ? Buffer.concat(buffers) : buffers[0];
  }

  /** The body in consecutive buffers; none if it is empty. */
  get buffers(): readonly Buffer[] {
    if (this.#size === 0) return [];
    if (this.#taken.length === 0) {
      const kept = this.#first ?? this.#whole?.subarray(0, this.#size);
      return kept ? [kept] : [];
    }
    const { segmentBytes = 0 } = this.plan.segments ?? {};
    const lastBytes = this.#size - (this.#taken.length - 1) * segmentBytes;
    return this.#taken.map((segment, index) =>
      index < this.#taken.length - 1 ? segment : segment.subarray(0, lastBytes),
    );
  }

  /** Copies a part, and before it what was kept in one buffer, into segments. */
  #spread(part: Buffer, segments: Segments): void {
    const kept = this.#taken.length === 0 ? this.bytes : undefined;
    this.#first = undefined;
    this.#whole = undefined;
    if (kept) this.#fill(kept, 0, segments);
    this.#fill(part, this.#size, segments);
  }

  /** Copies bytes into segments, from a position of the body on. */
  #fill(bytes: Buffer, position: number, { segmentBytes, takeSegment }: Segments): void {
    let copied = 0;
    while (copied < bytes.length) {
      const at = position + copied;
      const index = Math.floor(at / segmentBytes);
      this.#taken[index] ??= takeSegment();
      copied += bytes.copy(this.#taken[index], at % segmentBytes, copied);
    }
  }

  /** Returns the buffer, made larger if what is added does not fit. */
  #withRoomFor(addedBytes: number): Buffer {
    const { lengthBytes, limitBytes = Number.POSITIVE_INFINITY } = this.plan;
    const needed = this.#size + addedBytes;
    const whole = this.#whole ?? this.#first;
    if (whole && whole !== this.#first && whole.length >= needed) return whole;
    const doubled = Math.max(MIN_BUFFER_BYTES, 2 ** Math.ceil(Math.log2(needed)));
    const capacity = Math.max(needed, lengthBytes ?? Math.min(doubled, limitBytes));
    const larger = Buffer.allocUnsafeSlow(capacity);
    whole?.copy(larger, 0, 0, this.#size);
    this.#first = undefined;
    this.#whole = larger;
    return larger;
  }
}
