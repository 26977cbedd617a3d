/** Pauses and continues the reading of one answer. */
import type { AnswerChunks, ChunkShare } from './chunkshare.js';

/** Reads an answer from the connection to its upstream. */
export interface AnswerReader {
  /** Stops reading after the current chunk. */
  pause(): void;
  /** Reads on. */
  resume(): void;
}

/** Reads an answer while its caller reads and its upstream has a part of the event loop left. */
export class AnswerFlow {
  readonly #chunks: AnswerChunks = { turn: 0, count: 0 };

  #reader: AnswerReader | undefined;

  #waitsForShare = false;

  /** Whether the answer waits for the caller to read. */
  #waitsForCaller = false;

  /**
   * Creates the flow of an answer that has not begun.
   * @param share - part of the event loop for small chunks of the upstream's answers
   */
  constructor(private readonly share: ChunkShare) {}

  /** Whether the answer waits for the share of its upstream, while a part of it may have arrived. */
  get waitsForShare(): boolean {
    return this.#waitsForShare;
  }

  /**
   * Handles a chunk before it is relayed.
   * @param reader - reads the answer
   * @param bytes - size of the chunk
   */
  arrived(reader: AnswerReader, bytes: number): void {
    this.#reader = reader;
    if (this.share.count(this.#chunks, bytes)) return;
    this.#waitsForShare = true;
    reader.pause();
    this.share.wait(() => {
      this.#waitsForShare = false;
      this.#readOn();
    });
  }

  /** Waits until the caller has read what was relayed. */
  waitForCaller(): void {
    this.#waitsForCaller = true;
    this.#reader?.pause();
  }

  /** Records that the caller has read what was relayed. */
  drained(): void {
    this.#waitsForCaller = false;
    this.#readOn();
  }

  /** Ends the flow; the answer is not read on. */
  end(): void {
    this.#reader = undefined;
  }

  #readOn(): void {
    if (!this.#waitsForShare && !this.#waitsForCaller) this.#reader?.resume();
  }
}
