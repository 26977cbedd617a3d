/** Splits a stream of server-sent events, so that only complete ones are counted and relayed. */

/** Blank line that ends an event. */
const EVENT_END = Buffer.from('\n\n');

/** Maximum size of an incomplete event, in bytes: the size of thousands of usual events. */
const MAX_PARTIAL_BYTES = 1_048_576;

const ID_FIELD = /^id:\s*(.*)$/m;

/** Events that a chunk completed, with the bytes of their beginnings in earlier chunks. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Counts the events of a stream and buffers the incomplete last one. */
export class EventStream {
  #partial: Buffer = Buffer.alloc(0);

  /** Number of complete events so far. */
  events = 0;

  /** Id of the last complete event that has one; undefined before the first. */
  lastId: string | undefined;

  /** Whether bytes of an incomplete event are buffered. */
  get isPartial(): boolean {
    return this.#partial.length > 0;
  }

  /** Whether the incomplete event exceeds the buffer limit. */
  get isOversized(): boolean {
    return this.#partial.length > MAX_PARTIAL_BYTES;
  }

  /**
   * Adds bytes as they arrive.
   * @param chunk - the bytes
   * @returns the events that are complete now; the bytes after them are buffered
   */
  push(chunk: Buffer): WholeEvents {
    const bytes = this.#partial.length > 0 ? Buffer.concat([this.#partial, chunk]) : chunk;
    const end = bytes.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.#partial = bytes;
      return { bytes: Buffer.alloc(0), count: 0 };
    }
    const whole = bytes.subarray(0, end + EVENT_END.length);
    this.#partial = bytes.subarray(end + EVENT_END.length);
    const texts = whole.toString('latin1').split('\n\n').slice(0, -1);
    texts.forEach((text) => {
      this.lastId = ID_FIELD.exec(text)?.[1] ?? this.lastId;
    });
    this.events += texts.length;
    return { bytes: whole, count: texts.length };
  }

  /** Discards an incomplete event, before the stream is resumed at another upstream. */
  discardPartial(): void {
    this.#partial = Buffer.alloc(0);
  }
}
