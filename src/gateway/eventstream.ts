/** Splits a stream of server-sent events, so that only complete ones are counted and relayed. */

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;

/** Maximum size of an incomplete event, in bytes: the size of thousands of usual events. */
const MAX_PARTIAL_BYTES = 1_048_576;

const ID_FIELD = /^id:[ \t]*(.+)$/gm;

/** What the current line is: not begun, a comment, or a field of an event. */
type Line = 'empty' | 'comment' | 'field';

/** Events that a chunk completed, with the bytes of their beginnings in earlier chunks. */
export interface WholeEvents {
  /** Complete events, and the empty lines and comments between events. */
  readonly bytes: Buffer;
  readonly count: number;
}

/**
 * Counts the events of a stream and buffers the incomplete last one. Lines end with LF, CR or CRLF, and an empty line
 * ends an event. Empty lines and comments between events belong to no event.
 */
export class EventStream {
  /** Chunks of the incomplete event. */
  readonly #partial: Buffer[] = [];

  #partialBytes = 0;

  #line: Line = 'empty';

  /** Whether the current event has a complete line. */
  #isInEvent = false;

  /** Whether the last byte was CR, so that LF belongs to the same line end. */
  #isAfterCr = false;

  /** Number of complete events so far. */
  events = 0;

  /** Id of the last complete event that has one; undefined before the first. */
  lastId: string | undefined;

  /** Whether the stream is inside an event or a line. */
  get isPartial(): boolean {
    return this.#isInEvent || this.#line !== 'empty';
  }

  /** Whether the incomplete event exceeds the buffer limit. */
  get isOversized(): boolean {
    return this.#partialBytes > MAX_PARTIAL_BYTES;
  }

  /**
   * Adds bytes as they arrive.
   * @param chunk - the bytes
   * @returns the events that are complete now; the bytes after them are buffered
   */
  push(chunk: Buffer): WholeEvents {
    const before = this.events;
    let wholeUntil = 0;
    for (let at = 0; at < chunk.length; at += 1) {
      this.#scan(chunk[at] ?? 0);
      if (!this.isPartial) wholeUntil = at + 1;
    }
    if (wholeUntil === 0) {
      this.#keep(chunk);
      return { bytes: Buffer.alloc(0), count: 0 };
    }
    const whole = Buffer.concat([...this.#partial.splice(0), chunk.subarray(0, wholeUntil)]);
    this.#partialBytes = 0;
    this.#keep(chunk.subarray(wholeUntil));
    const count = this.events - before;
    if (count > 0) {
      const ids = [...whole.toString('latin1').matchAll(ID_FIELD)];
      this.lastId = ids.at(-1)?.[1] ?? this.lastId;
    }
    return { bytes: whole, count };
  }

  /** Keeps a part of an incomplete event; parts are joined only once it is complete. */
  #keep(part: Buffer): void {
    if (part.length === 0) return;
    this.#partial.push(part);
    this.#partialBytes += part.length;
  }

  /** Discards an incomplete event, before the stream is resumed at another upstream. */
  discardPartial(): void {
    this.#partial.length = 0;
    this.#partialBytes = 0;
    this.#line = 'empty';
    this.#isInEvent = false;
    this.#isAfterCr = false;
  }

  #scan(byte: number): void {
    const isSecondOfLineEnd = byte === LF && this.#isAfterCr;
    this.#isAfterCr = byte === CR;
    if (isSecondOfLineEnd) return;
    if (byte === LF || byte === CR) this.#endLine();
    else if (this.#line === 'empty') this.#line = byte === COLON ? 'comment' : 'field';
  }

  #endLine(): void {
    if (this.#line === 'field') this.#isInEvent = true;
    else if (this.#line === 'empty' && this.#isInEvent) {
      this.events += 1;
      this.#isInEvent = false;
    }
    this.#line = 'empty';
  }
}
