/** Bounds on the time and the size of one answer of a store. */
import type { StoreProblem } from './objectstore.js';

/** Longest pause between two pieces of an answer, in milliseconds: four resends of a lost packet. */
const GAP_TIMEOUT_MS = 1_000;

/** Largest answer, in bytes: parsed, it takes half of the memory for control. */
const MAX_ANSWER_BYTES = 4 * 1_048_576;

/** How long an answer may take. */
export interface AnswerTimeouts {
  /** Longest wait for its head, in milliseconds. */
  readonly headMs: number;
  /** Longest time from the head to the last byte, in milliseconds. */
  readonly bodyMs: number;
}

/** A bound that an answer has exceeded. */
export interface ExceededLimit {
  readonly problem: Extract<StoreProblem, 'lost' | 'oversized'>;
  readonly text: string;
}

/** Owns the timers of one answer. A slow link is no silence: pieces that arrive extend the wait. */
export class AnswerLimits {
  /** Resolves with the first bound that is exceeded. */
  readonly exceeded: Promise<ExceededLimit>;

  readonly #startedAt = performance.now();

  #reportExceeded: (limit: ExceededLimit) => void = () => undefined;

  #timer: NodeJS.Timeout;

  #bodyDeadline = 0;

  #bytes = 0;

  /**
   * Starts the wait for the head.
   * @param timeouts - how long the answer may take
   */
  constructor(private readonly timeouts: AnswerTimeouts) {
    this.exceeded = new Promise((resolve) => {
      this.#reportExceeded = resolve;
    });
    this.#timer = this.#startTimer(timeouts.headMs, 'lost', 'no head');
  }

  /** Takes note of the head. */
  onHead(): void {
    this.#bodyDeadline = performance.now() + this.timeouts.bodyMs;
    this.#restartTimer();
  }

  /**
   * Takes note of a piece of the body.
   * @param bytes - its length
   */
  onChunk(bytes: number): void {
    this.#bytes += bytes;
    if (this.#bytes > MAX_ANSWER_BYTES)
      this.#reportExceeded(this.#limit('oversized', 'too many bytes'));
    else this.#restartTimer();
  }

  /** Ends the timers. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #restartTimer(): void {
    clearTimeout(this.#timer);
    const remainingMs = Math.max(0, this.#bodyDeadline - performance.now());
    this.#timer =
      remainingMs <= GAP_TIMEOUT_MS
        ? this.#startTimer(remainingMs, 'oversized', 'no end')
        : this.#startTimer(GAP_TIMEOUT_MS, 'lost', 'silence');
  }

  #startTimer(delayMs: number, problem: ExceededLimit['problem'], what: string): NodeJS.Timeout {
    return setTimeout(() => this.#reportExceeded(this.#limit(problem, what)), delayMs).unref();
  }

  #limit(problem: ExceededLimit['problem'], what: string): ExceededLimit {
    const tookMs = Math.round(performance.now() - this.#startedAt);
    return { problem, text: `${what} after ${tookMs} ms and ${this.#bytes} bytes` };
  }
}
