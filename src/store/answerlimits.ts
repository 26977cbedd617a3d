/** Limits on the duration and the size of one response from an object store. */
import { PolledTimer } from '../kernel/index.js';

import type { StoreProblem } from './objectstore.js';

/** Longest gap between two chunks of a body, in milliseconds: time for four retransmissions of a lost packet. */
const GAP_TIMEOUT_MS = 1_000;

/**
 * Largest response body, in bytes: once parsed, it takes half of the 32 MiB of memory that a daemon may use for
 * the control plane, that is, for reading from the store.
 */
const MAX_ANSWER_BYTES = 4 * 1_048_576;

/** Time limits of one response. */
export interface AnswerTimeouts {
  /** Longest wait for the response headers, in milliseconds. */
  readonly headMs: number;
  /** Longest time from the headers to the last byte of the body, in milliseconds. */
  readonly bodyMs: number;
}

/** A limit that a response has exceeded. */
export interface ExceededLimit {
  readonly problem: Extract<StoreProblem, 'lost' | 'oversized'>;
  readonly text: string;
}

/**
 * Enforces the limits of one response. Each chunk restarts the gap timeout, so a slow connection that
 * still delivers data is cut off only by the limit for the whole body.
 */
export class AnswerLimits {
  /** Resolves with the first limit that is exceeded; stays pending if none is. */
  readonly exceeded: Promise<ExceededLimit>;

  readonly #startedAt = performance.now();

  #reportExceeded: (limit: ExceededLimit) => void = () => undefined;

  #timer: PolledTimer;

  #bodyDeadline = 0;

  #bytes = 0;

  /**
   * Starts the timer for the response headers.
   * @param timeouts - time limits of the response
   */
  constructor(private readonly timeouts: AnswerTimeouts) {
    this.exceeded = new Promise((resolve) => {
      this.#reportExceeded = resolve;
    });
    this.#timer = this.#startTimer(timeouts.headMs, 'lost', 'no response headers');
  }

  /** Records that the response headers have arrived, and starts the timers for the body. */
  onHead(): void {
    this.#bodyDeadline = performance.now() + this.timeouts.bodyMs;
    this.#restartTimer();
  }

  /**
   * Records a chunk of the body and checks the size limit.
   * @param bytes - length of the chunk
   */
  onChunk(bytes: number): void {
    this.#bytes += bytes;
    if (this.#bytes > MAX_ANSWER_BYTES)
      this.#reportExceeded(this.#limit('oversized', 'response body too large'));
    else this.#restartTimer();
  }

  /** Clears the timer. */
  stop(): void {
    this.#timer.clear();
  }

  #restartTimer(): void {
    this.#timer.clear();
    const remainingMs = Math.max(0, this.#bodyDeadline - performance.now());
    this.#timer =
      remainingMs <= GAP_TIMEOUT_MS
        ? this.#startTimer(remainingMs, 'oversized', 'response body incomplete')
        : this.#startTimer(GAP_TIMEOUT_MS, 'lost', 'silence');
  }

  #startTimer(delayMs: number, problem: ExceededLimit['problem'], what: string): PolledTimer {
    const report = (): void => this.#reportExceeded(this.#limit(problem, what));
    return new PolledTimer(delayMs, report).unref();
  }

  #limit(problem: ExceededLimit['problem'], what: string): ExceededLimit {
    const tookMs = Math.round(performance.now() - this.#startedAt);
    return { problem, text: `${what} after ${tookMs} ms and ${this.#bytes} bytes` };
  }
}
