/** The caller's side of a request, as the relay sees it. */
import type { AnswerHead } from './protocol.js';

/** Writes one answer to a caller. */
export abstract class CallerReply {
  /** Whether a part of the answer has been written. */
  abstract readonly isBegun: boolean;

  /** Whether the caller has gone. */
  abstract readonly isDisconnected: boolean;

  /**
   * Writes the head of an upstream's answer.
   * @param head - status and headers to pass back
   */
  abstract begin(head: AnswerHead): void;

  /**
   * Writes a part of the body.
   * @param bytes - the part
   * @returns whether the caller takes more at once
   */
  abstract write(bytes: Buffer): boolean;

  /** Ends a whole answer. */
  abstract end(): void;

  /** Breaks off, so that what was written does not look like a whole answer. */
  abstract abortAnswer(): void;

  /**
   * Answers by the router itself.
   * @param status - status code
   * @param headers - names and values
   * @param body - the body
   */
  abstract answer(status: number, headers: Readonly<Record<string, string>>, body: string): void;

  /** Called when the caller takes more again. */
  onDrain: () => void = () => undefined;

  /** Called when the caller has closed its connection before the end. */
  onDisconnect: () => void = () => undefined;
}
