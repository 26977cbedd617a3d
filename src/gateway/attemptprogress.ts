/** How far one attempt at an upstream has come. */
import type { Call } from './attempt.js';
import type { AnswerHead } from './protocol.js';

/** Maximum number of prompt parts that a log line names. */
const MAX_LOGGED_PARTS = 8;

/** Follows the answer to one attempt. */
export class AttemptProgress {
  readonly #eventsBefore: number;

  #hasHead = false;

  #hasBegun = false;

  #hasBody = false;

  #isEventStream = false;

  /**
   * Starts to follow an attempt that is about to be sent.
   * @param call - the request
   * @param sentAt - current time, in milliseconds
   */
  constructor(
    private readonly call: Call,
    readonly sentAt: number,
  ) {
    this.#eventsBefore = call.events.events;
  }

  /**
   * Records that the head or a chunk of an answer has arrived.
   * @param head - the head; undefined for a chunk
   * @returns whether the answer has begun: true once, when the first complete event was read before
   */
  noteProgress(head: AnswerHead | undefined): boolean {
    this.#hasHead = true;
    if (head) this.#isEventStream = head.isEventStream;
    else this.#hasBody = true;
    const hasBegun = !this.#hasBegun && this.events > 0;
    this.#hasBegun ||= hasBegun;
    return hasBegun;
  }

  /** Number of complete events that this attempt has answered. */
  get events(): number {
    return this.call.events.events - this.#eventsBefore;
  }

  /** Whether a part of the output has arrived: an event of a stream, or a byte of another body. */
  get hasOutput(): boolean {
    return this.events > 0 || (this.#hasBody && !this.#isEventStream);
  }

  /**
   * Describes the attempt for the log.
   * @param now - current time, in milliseconds
   * @returns time since the send, how much was answered, and the first parts of the prompt
   */
  facts(now: number): Readonly<Record<string, string | number | boolean>> {
    const { prompt } = this.call.head;
    const named = prompt.slice(0, MAX_LOGGED_PARTS).map(({ id }) => id);
    return {
      sentMs: Math.round(now - this.sentAt),
      hasHead: this.#hasHead,
      answeredEvents: this.events,
      parts: named.join(' '),
      partCount: prompt.length,
    };
  }
}
