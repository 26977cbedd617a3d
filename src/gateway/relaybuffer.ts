/** Joins the chunks of an answer that arrive together, so that each is not written to the caller by itself. */
import type { CallerReply } from './reply.js';

/** Number of bytes that are written at once, so that a slow caller holds up its upstream. */
const MAX_BUFFERED_BYTES = 65_536;

/** Bytes of one attempt's answer for the caller. */
export class RelayBuffer {
  readonly #chunks: Buffer[] = [];

  #bytes = 0;

  /**
   * Creates an empty buffer.
   * @param reply - answer to the caller
   * @param onFull - called when the caller is slower than the upstream
   */
  constructor(
    private readonly reply: CallerReply,
    private readonly onFull: () => void,
  ) {}

  /**
   * Adds a chunk; it is written once the bytes that arrived with it have been parsed.
   * @param chunk - the chunk
   */
  push(chunk: Buffer): void {
    if (this.#chunks.length === 0) process.nextTick(() => this.flush());
    this.#chunks.push(chunk);
    this.#bytes += chunk.length;
    if (this.#bytes >= MAX_BUFFERED_BYTES) this.flush();
  }

  /** Writes all chunks now. */
  flush(): void {
    const chunks = this.#chunks.splice(0);
    const [first] = chunks;
    this.#bytes = 0;
    if (first === undefined || this.reply.isDisconnected) return;
    const bytes = chunks.length === 1 ? first : Buffer.concat(chunks);
    if (!this.reply.write(bytes)) this.onFull();
  }
}
