/** Splits a stream of server-sent events, so that only complete ones are counted and relayed. */

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;

/** Maximum size of an incomplete event, in bytes: the size of thousands of usual events. */
const MAX_PARTIAL_BYTES = 1_048_576;

/** Maximum number of chunks of an incomplete event: each takes time, however small it is. */
const MAX_PARTIAL_CHUNKS = 16_384;

/** Least size of the buffer of an incomplete event, in bytes. */
const MIN_BUFFER_BYTES = 256;

const NO_BYTES = Buffer.alloc(0);

const ID_NAME = 'id:';
const ID_FIELD = /^id:[ \t]*(.+)$/gm;

/** Finds the first line end in a chunk; returns the length of the chunk if there is none. */
function lineEnd(chunk: Buffer, from: number): number {
  let at = from;
  while (at < chunk.length && chunk[at] !== LF && chunk[at] !== CR) at += 1;
  return at;
}

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
  /** Buffer of the incomplete event; it may be larger than that. */
  #partial = NO_BYTES;

  #partialBytes = 0;

  /** Number of chunks of the incomplete event. */
  #partialChunks = 0;

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

  /** Size of the incomplete event so far, in bytes. */
  get partialBytes(): number {
    return this.#partialBytes;
  }

  /** Whether the incomplete event is larger, or comes in more chunks, than an event may. */
  get isOversized(): boolean {
    return this.#partialBytes > MAX_PARTIAL_BYTES || this.#partialChunks > MAX_PARTIAL_CHUNKS;
  }

  /**
   * Adds bytes as they arrive.
   * @param chunk - the bytes
   * @returns the events that are complete now; the bytes after them are buffered
   */
  push(chunk: Buffer): WholeEvents {
    const before = this.events;
    const wholeUntil = this.#scan(chunk);
    if (wholeUntil === 0) {
      this.#keep(chunk);
      return { bytes: NO_BYTES, count: 0 };
    }
    const partial = this.#partial.subarray(0, this.#partialBytes);
    const added = chunk.subarray(0, wholeUntil);
    const whole = partial.length === 0 ? added : Buffer.concat([partial, added]);
    this.#drop();
    this.#keep(chunk.subarray(wholeUntil));
    const count = this.events - before;
    if (count > 0 && whole.includes(ID_NAME)) {
      const ids = [...whole.toString('latin1').matchAll(ID_FIELD)];
      this.lastId = ids.at(-1)?.[1] ?? this.lastId;
    }
    return { bytes: whole, count };
  }

  /**
   * Copies a part of an incomplete event: a chunk that is kept as such also keeps the memory of those that were received
   * with it.
   */
  #keep(part: Buffer): void {
    if (part.length === 0) return;
    const bytes = this.#partialBytes + part.length;
    if (bytes > this.#partial.length) {
      const grown = Buffer.allocUnsafe(Math.max(MIN_BUFFER_BYTES, 2 * bytes));
      this.#partial.copy(grown, 0, 0, this.#partialBytes);
      this.#partial = grown;
    }
    part.copy(this.#partial, this.#partialBytes);
    this.#partialBytes = bytes;
    this.#partialChunks += 1;
  }

  #drop(): void {
    this.#partial = NO_BYTES;
    this.#partialBytes = 0;
    this.#partialChunks = 0;
  }

  /** Discards an incomplete event, before the stream is resumed at another upstream. */
  discardPartial(): void {
    this.#drop();
    this.#line = 'empty';
    this.#isInEvent = false;
    this.#isAfterCr = false;
  }

  /** Follows the lines of a chunk; returns the end of the last byte in it after which no event is incomplete. */
  #scan(chunk: Buffer): number {
    let wholeUntil = 0;
    let at = 0;
    while (at < chunk.length) {
      const isSecondOfLineEnd = this.#isAfterCr && chunk[at] === LF;
      const end = isSecondOfLineEnd ? at : lineEnd(chunk, at);
      if (end > at && this.#line === 'empty') {
        this.#line = chunk[at] === COLON ? 'comment' : 'field';
      }
      this.#isAfterCr = chunk[end] === CR;
      if (!isSecondOfLineEnd && end < chunk.length) this.#endLine();
      at = end + 1;
      if (!this.isPartial) wholeUntil = at;
    }
    return wholeUntil;
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
