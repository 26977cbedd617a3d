/** Where the answer of a request goes. */
import type { Failure } from '../kernel/index.js';

/** Receives an answer; the caller may leave at any time. */
export abstract class AnswerSink {
  /** Whether any byte has gone to the caller. */
  abstract readonly started: boolean;

  /**
   * Takes whole events of a model answer.
   * @param bytes - server-sent events
   * @returns once the caller's connection takes more
   */
  abstract write(bytes: Buffer): Promise<void>;

  /** Drops what was collected of an attempt that was cut, as far as it has not gone out. */
  abstract discard(): void;

  /** Sends the last frame and ends the answer. */
  abstract finish(): void;

  /**
   * Refuses the request, or ends a begun answer without its last frame.
   * @param fail - why
   */
  abstract refuse(fail: Failure): void;
}
