/** Splits a byte stream into whole server-sent events. */

const NEWLINE = 0x0a;

/** Whole events and what is left of the chunk. */
interface Split {
  readonly complete: Buffer;
  readonly events: number;
}

const EMPTY = Buffer.alloc(0);

/** Holds the unfinished event between chunks. */
export class EventSplitter {
  #partialEvent: Buffer = EMPTY;

  /**
   * Takes a chunk.
   * @param chunk - bytes as they arrive
   * @returns the whole events so far, each with its closing empty line
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

  /** Whether an event has begun that has not ended. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.some((byte) => byte !== NEWLINE);
  }
}
