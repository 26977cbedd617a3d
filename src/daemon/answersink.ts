/** Destination of the answer to a model request. */
import type { Failure } from '../kernel/index.js';

/** Writes an answer to the caller; the caller may disconnect at any time. */
export abstract class AnswerSink {
  /** Whether any byte of the answer has been sent to the caller. */
  abstract readonly started: boolean;

  /**
   * Accepts complete events of a model answer.
   * @param bytes - one or more complete server-sent events
   * @returns resolves when the caller's connection accepts more data
   */
  abstract write(bytes: Buffer): Promise<void>;

  /** Discards the buffered part of an interrupted attempt; bytes already sent are not affected. */
  abstract discard(): void;

  /** Sends the last frame and ends the response. */
  abstract finish(): void;

  /**
   * Answers with a failure; if the answer has started, ends it without its last frame.
   * @param fail - the failure
   */
  abstract refuse(fail: Failure): void;
}
