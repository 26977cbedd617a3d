/** Splits a byte stream into complete server-sent events. */

const NEWLINE = 0x0a;

/** Bytes of the events that are complete, and their number. */
interface Split {
  readonly complete: Buffer;
  readonly events: number;
}

const EMPTY = Buffer.alloc(0);

/** Buffers an incomplete event until the chunk that completes it arrives. */
export class EventSplitter {
  #partialEvent: Buffer = EMPTY;

  /**
   * Adds a chunk.
   * @param chunk - next bytes of the stream
   * @returns the events that this chunk completes, each with the empty line that ends it
   */
  push(chunk: Buffer): Split {
    const data =
      this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk]);
    let events = 0;
    let end = 0;
    for (let at = data.indexOf('\n\n'); at >= 0; at = data.indexOf('\n\n', end)) {
      end = at + 2;
      events += 1;
    }
    this.#partialEvent = data.subarray(end);
    return { complete: data.subarray(0, end), events };
  }

  /** Whether the stream has delivered the start of an event but not its end. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.some((byte) => byte !== NEWLINE);
  }
}
