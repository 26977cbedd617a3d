/** Writes log lines to a file descriptor, so that whatever becomes of them neither delays nor ends the process. */
import { write, writeSync } from 'node:fs';

import { MIB_BYTES } from '../kernel/index.js';

/** Size of the buffer in bytes; lines are dropped while it is full. */
const BUFFER_BYTES = 4 * MIB_BYTES;

/** Pause after a failed write, in milliseconds. */
const RETRY_MS = 100;

/** Codes of errors that pass once the reader has read what was written before. */
const BUSY_CODES: ReadonlySet<string | undefined> = new Set(['EAGAIN', 'EBUSY']);

const NOTHING = Buffer.alloc(0);

/** Buffers log lines and writes them in order, with one write at a time. */
export class LogOutput {
  #lines: string[] = [];

  /** Bytes of the first lines: those of the write that is under way, or the rest after a short or failed one. */
  #batch: Buffer = NOTHING;

  #bufferedBytes = 0;

  #isWriting = false;

  /** Ends the pause after a failed write. */
  #pause: NodeJS.Timeout | undefined;

  #dropped = 0;

  /** Called with the number of dropped lines once a write has succeeded again. */
  onRecovered: (dropped: number) => void = () => undefined;

  /**
   * Creates an output.
   * @param fd - file descriptor; a pipe or socket has to be in non-blocking mode, as the process cannot exit during a
   * write that waits for the reader
   */
  constructor(private readonly fd: number) {}

  /**
   * Buffers a line; it is dropped if the buffer is full.
   * @param line - the line, with its end
   */
  write(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.#bufferedBytes + bytes > BUFFER_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#bufferedBytes += bytes;
    this.#writeNext();
  }

  /** Writes the buffered lines that the reader accepts at once; to be called before the process exits. */
  flush(): void {
    // The bytes of a write that is under way are written even if the process exits.
    let rest = this.#isWriting ? NOTHING : this.#batch;
    rest = Buffer.concat([rest, Buffer.from(this.#lines.splice(0).join(''))]);
    this.#bufferedBytes -= rest.length;
    try {
      // eslint-disable-next-line n/no-sync
      while (rest.length > 0) rest = rest.subarray(writeSync(this.fd, rest));
    } catch {
      // The other lines are lost with the process.
    }
    if (!this.#isWriting) this.#batch = NOTHING;
  }

  #writeNext(): void {
    if (this.#isWriting || this.#pause) return;
    if (this.#batch.length === 0) this.#batch = Buffer.from(this.#lines.splice(0).join(''));
    if (this.#batch.length === 0) return;
    this.#isWriting = true;
    write(this.fd, this.#batch, (err, written) => {
      this.#isWriting = false;
      if (err) this.#handleError(err);
      else this.#handleWritten(written);
    });
  }

  #handleError({ code }: NodeJS.ErrnoException): void {
    if (!BUSY_CODES.has(code)) this.#dropAll();
    this.#pause = setTimeout(() => {
      this.#pause = undefined;
      this.#writeNext();
    }, RETRY_MS).unref();
  }

  #handleWritten(written: number): void {
    this.#batch = this.#batch.subarray(written);
    this.#bufferedBytes -= written;
    const dropped = this.#dropped;
    this.#dropped = 0;
    if (dropped > 0) this.onRecovered(dropped);
    this.#writeNext();
  }

  /** Drops what is buffered: it is not known when the output works again, and how much of the batch was written. */
  #dropAll(): void {
    this.#dropped += this.#lines.length + this.#batch.toString().split('\n').length - 1;
    this.#lines = [];
    this.#batch = NOTHING;
    this.#bufferedBytes = 0;
  }
}
