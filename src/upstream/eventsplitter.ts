/** Splits a byte stream into complete server-sent events. */

const NEWLINE = 0x0a;

/** Largest incomplete event, in bytes: the size of thousands of usual events. */
const MAX_PARTIAL_BYTES = 1_048_576;

/** Bytes of the events that are complete, and their number. */
interface Split {
  readonly complete: Buffer;
  readonly events: number;
}

const EMPTY = Buffer.alloc(0);

/** Buffers an incomplete event until the chunk that completes it arrives. */
export class EventSplitter {
  /** Chunks of the incomplete event. */
  readonly #partial: Buffer[] = [];

  #partialBytes = 0;

  #endsWithNewline = false;

  /**
   * Adds a chunk.
   * @param chunk - next bytes of the stream
   * @returns the events that this chunk completes, each with the empty line that ends it
   * @throws Error if an event has no end within the size limit
   */
  push(chunk: Buffer): Split {
    const isEndSplit = this.#endsWithNewline && chunk[0] === NEWLINE;
    if (!isEndSplit && !chunk.includes('\n\n')) {
      this.#keep(chunk);
      return { complete: EMPTY, events: 0 };
    }
    const data = Buffer.concat([...this.#partial.splice(0), chunk]);
    this.#partialBytes = 0;
    this.#endsWithNewline = false;
    let events = 0;
    let end = 0;
    for (let at = data.indexOf('\n\n'); at >= 0; at = data.indexOf('\n\n', end)) {
      end = at + 2;
      events += 1;
    }
    this.#keep(data.subarray(end));
    return { complete: data.subarray(0, end), events };
  }

  /** Keeps a part of an incomplete event; parts are joined only once it is complete. */
  #keep(part: Buffer): void {
    if (part.length === 0) return;
    this.#partial.push(part);
    this.#partialBytes += part.length;
    this.#endsWithNewline = part.at(-1) === NEWLINE;
    if (this.#partialBytes > MAX_PARTIAL_BYTES)
      throw new Error(`an event without an end after ${this.#partialBytes} bytes`);
  }

  /** Whether the stream has delivered the start of an event but not its end. */
  get hasPartialEvent(): boolean {
    return this.#partial.some((part) => part.some((byte) => byte !== NEWLINE));
  }
}
