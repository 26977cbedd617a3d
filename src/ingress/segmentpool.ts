/** Fixed buffers in which large bodies are kept. */
import { KIB_BYTES } from '../kernel/index.js';

/** Size of a segment, in bytes: about what one read of a socket brings. */
export const SEGMENT_BYTES = 64 * KIB_BYTES;

/** Number of segments that are allocated together. */
const SLAB_SEGMENTS = 16;

/**
 * Segments that are used again. What a body has taken is free as soon as it is given back, without a collection of
 * garbage; the allocator, which may keep what it gets back, sees none of it.
 */
export class SegmentPool {
  /** Free segments; those that were used last are taken first. */
  readonly #free: Buffer[] = [];

  /** Segments of the newest slab that were never used: the system gives them memory with their first use. */
  #unused: Buffer[] = [];

  #used = 0;

  #taken = 0;

  /** Memory of all segments that were ever used, in bytes. */
  get residentBytes(): number {
    return this.#used * SEGMENT_BYTES;
  }

  /** Memory of the segments that are in use now, in bytes. */
  get takenBytes(): number {
    return this.#taken * SEGMENT_BYTES;
  }

  /**
   * Takes a segment.
   * @returns buffer of SEGMENT_BYTES with any content
   */
  take(): Buffer {
    this.#taken += 1;
    return this.#free.pop() ?? this.#takeUnused();
  }

  /**
   * Gives segments back, which nothing may read or write from then on.
   * @param segments - the segments
   */
  giveBack(segments: readonly Buffer[]): void {
    this.#taken -= segments.length;
    this.#free.push(...segments);
  }

  #takeUnused(): Buffer {
    if (this.#unused.length === 0) {
      const slab = Buffer.allocUnsafeSlow(SLAB_SEGMENTS * SEGMENT_BYTES);
      this.#unused = Array.from({ length: SLAB_SEGMENTS }, (_, index) =>
        slab.subarray(index * SEGMENT_BYTES, (index + 1) * SEGMENT_BYTES),
      );
    }
    this.#used += 1;
    return this.#unused.pop() as Buffer;
  }
}
