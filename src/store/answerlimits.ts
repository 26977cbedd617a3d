/** Bounds on the time and the size of one answer of a store. */
import type { StoreProblem } from './objectstore.js';

/** Longest pause between two pieces of an answer, in milliseconds: four resends of a lost packet. */
const SILENCE_MS = 1_000;

/** Largest answer, in bytes: parsed, it takes half of the memory for control. */
const MAX_BYTES = 4 * 1_048_576;

/** How long an answer may take. */
export interface AnswerTimes {
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

  #exceed: (limit: ExceededLimit) => void = () => undefined;

  #timer: NodeJS.Timeout;

  #bodyUntil = 0;

  #bytes = 0;

  /**
   * Starts the wait for the head.
   * @param times - how long the answer may take
   */
  constructor(private readonly times: AnswerTimes) {
    this.exceeded = new Promise((resolve) => {
      this.#exceed = resolve;
    });
    this.#timer = this.#after(times.headMs, 'lost', 'no head');
  }

  /** Takes note of the head. */
  begin(): void {
    this.#bodyUntil = performance.now() + this.times.bodyMs;
    this.#extend();
  }

  /**
   * Takes note of a piece of the body.
   * @param bytes - its length
   */
  take(bytes: number): void {
    this.#bytes += bytes;
    if (this.#bytes > MAX_BYTES) this.#exceed(this.#limit('oversized', 'too many bytes'));
    else this.#extend();
  }

  /** Ends the timers. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #extend(): void {
    clearTimeout(this.#timer);
    const left = Math.max(0, this.#bodyUntil - performance.now());
    this.#timer =
      left <= SILENCE_MS
        ? this.#after(left, 'oversized', 'no end')
        : this.#after(SILENCE_MS, 'lost', 'silence');
  }

  #after(delayMs: number, problem: ExceededLimit['problem'], what: string): NodeJS.Timeout {
    return setTimeout(() => this.#exceed(this.#limit(problem, what)), delayMs).unref();
  }

  #limit(problem: ExceededLimit['problem'], what: string): ExceededLimit {
    const tookMs = Math.round(performance.now() - this.#startedAt);
    return { problem, text: `${what} after ${tookMs} ms and ${this.#bytes} bytes` };
  }
}
