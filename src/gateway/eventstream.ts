/** Follows the events of a stream, so that only whole ones count and are passed on. */

/** Ends an event. */
const EVENT_END = Buffer.from('\n\n');

/** Largest unfinished event that is held, in bytes: thousands of usual ones. */
const MAX_PARTIAL_BYTES = 1_048_576;

const ID_FIELD = /^id:\s*(.*)$/m;

/** Whole events that a chunk completed. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Splits a stream into events. */
export class EventStream {
  #partial: Buffer = Buffer.alloc(0);

  /** Events so far. */
  events = 0;

  /** Id of the last whole event; undefined before the first that has one. */
  lastId: string | undefined;

  /** Whether bytes of an unfinished event are held. */
  get isPartial(): boolean {
    return this.#partial.length > 0;
  }

  /** Whether an event is larger than may be held. */
  get isOversized(): boolean {
    return this.#partial.length > MAX_PARTIAL_BYTES;
  }

  /**
   * Takes bytes as they arrive.
   * @param chunk - the bytes
   * @returns the events that are whole now; the rest is held
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

  /** Forgets an unfinished event, before the stream goes on elsewhere. */
  discardPartial(): void {
    this.#partial = Buffer.alloc(0);
  }
}
