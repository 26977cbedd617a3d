/** Passive ejection of failing workers and their slow return. */

/** Failures in a row that eject a worker. */
const EJECT_FAILURES = 3;

/** First ejection in milliseconds; each further one lasts twice as long. */
const EJECT_MS = 2_000;

/** Longest ejection, in milliseconds. */
const MAX_EJECT_MS = 60_000;

/** Time over which a returning worker regains its full share, in milliseconds. */
const RETURN_MS = 10_000;

/** Share that a worker has at the moment of its return. */
const RETURN_SHARE = 0.1;

/** When a worker is ejected, and for how long. */
export interface HealthOptions {
  /** Failures in a row that eject. */
  readonly failures: number;
  /** First ejection, in milliseconds. */
  readonly firstMs: number;
  /** Longest ejection, in milliseconds. */
  readonly longestMs: number;
  /** Time over which the full share comes back, in milliseconds. */
  readonly returnMs: number;
}

/** Ejection of workers that stay for hours. */
const DEFAULT_OPTIONS: HealthOptions = {
  failures: EJECT_FAILURES,
  firstMs: EJECT_MS,
  longestMs: MAX_EJECT_MS,
  returnMs: RETURN_MS,
};

/** Follows the failures of one worker. */
export class Health {
  #failures = 0;

  #ejections = 0;

  #onProbation = false;

  #ejectedUntil = Number.NEGATIVE_INFINITY;

  /**
   * Creates the record of a healthy worker.
   * @param options - when it is ejected, and for how long
   */
  constructor(private readonly options: HealthOptions = DEFAULT_OPTIONS) {}

  /** Whether no answer has begun since the last ejection. */
  get onProbation(): boolean {
    return this.#onProbation;
  }

  /**
   * Takes note of an answer that began.
   * @param now - time in milliseconds
   */
  succeed(now: number): void {
    this.#failures = 0;
    this.#onProbation = false;
    if (now > this.#ejectedUntil + this.options.returnMs) this.#ejections = 0;
  }

  /**
   * Takes note of a failure.
   * @param now - time in milliseconds
   * @returns whether this failure ejected the worker
   */
  fail(now: number): boolean {
    if (this.ejected(now)) return false;
    this.#failures += 1;
    const returning = now < this.#ejectedUntil + this.options.returnMs;
    if (this.#failures < this.options.failures && !returning) return false;
    const { firstMs, longestMs } = this.options;
    const length = Math.min(longestMs, firstMs * 2 ** this.#ejections);
    this.#ejectedUntil = now + length;
    this.#ejections += 1;
    this.#onProbation = true;
    this.#failures = 0;
    return true;
  }

  /**
   * Says whether the worker is ejected.
   * @param now - time in milliseconds
   * @returns whether it should receive no work
   */
  ejected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  /**
   * Gives the share of its capacity that the worker should be trusted with.
   * @param now - time in milliseconds
   * @returns 0 while ejected, then a share that grows to 1
   */
  share(now: number): number {
    if (this.ejected(now)) return 0;
    const back = (now - this.#ejectedUntil) / this.options.returnMs;
    return back >= 1 ? 1 : RETURN_SHARE + (1 - RETURN_SHARE) * back;
  }
}
