/** Passive ejection of failing workers and their slow return. */

/** Failures in a row that eject a worker. */
const EJECTION_FAILURES = 3;

/** First ejection in milliseconds; each further one lasts twice as long. */
const FIRST_EJECTION_MS = 2_000;

/** Longest ejection, in milliseconds. */
const MAX_EJECTION_MS = 60_000;

/** Time over which a returning worker regains its full share, in milliseconds. */
const SLOW_START_MS = 10_000;

/** Share that a worker has at the moment of its return. */
const SLOW_START_INITIAL_SHARE = 0.1;

/** When a worker is ejected, and for how long. */
export interface HealthOptions {
  /** Failures in a row that eject. */
  readonly consecutiveFailures: number;
  /** First ejection, in milliseconds. */
  readonly firstMs: number;
  /** Longest ejection, in milliseconds. */
  readonly longestMs: number;
  /** Time over which the full share comes back, in milliseconds. */
  readonly slowStartMs: number;
}

/** Ejection of workers that stay for hours. */
const DEFAULT_OPTIONS: HealthOptions = {
  consecutiveFailures: EJECTION_FAILURES,
  firstMs: FIRST_EJECTION_MS,
  longestMs: MAX_EJECTION_MS,
  slowStartMs: SLOW_START_MS,
};

/** Follows the failures of one worker. */
export class Health {
  #consecutiveFailures = 0;

  #ejections = 0;

  #isUnproven = false;

  #ejectedUntil = Number.NEGATIVE_INFINITY;

  /**
   * Creates the record of a healthy worker.
   * @param options - when it is ejected, and for how long
   */
  constructor(private readonly options: HealthOptions = DEFAULT_OPTIONS) {}

  /** Whether no answer has begun since the last ejection. */
  get isUnproven(): boolean {
    return this.#isUnproven;
  }

  /**
   * Takes note of an answer that began.
   * @param now - time in milliseconds
   */
  recordSuccess(now: number): void {
    this.#consecutiveFailures = 0;
    this.#isUnproven = false;
    if (now > this.#ejectedUntil + this.options.slowStartMs) this.#ejections = 0;
  }

  /**
   * Takes note of a failure.
   * @param now - time in milliseconds
   * @returns whether this failure ejected the worker
   */
  recordFailure(now: number): boolean {
    if (this.isEjected(now)) return false;
    this.#consecutiveFailures += 1;
    const isInSlowStart = now < this.#ejectedUntil + this.options.slowStartMs;
    if (this.#consecutiveFailures < this.options.consecutiveFailures && !isInSlowStart)
      return false;
    const { firstMs, longestMs } = this.options;
    const durationMs = Math.min(longestMs, firstMs * 2 ** this.#ejections);
    this.#ejectedUntil = now + durationMs;
    this.#ejections += 1;
    this.#isUnproven = true;
    this.#consecutiveFailures = 0;
    return true;
  }

  /**
   * Says whether the worker is ejected.
   * @param now - time in milliseconds
   * @returns whether it should receive no work
   */
  isEjected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  /**
   * Gives the share of its capacity that the worker should be trusted with.
   * @param now - time in milliseconds
   * @returns 0 while ejected, then a share that grows to 1
   */
  share(now: number): number {
    if (this.isEjected(now)) return 0;
    const progress = (now - this.#ejectedUntil) / this.options.slowStartMs;
    return progress >= 1 ? 1 : SLOW_START_INITIAL_SHARE + (1 - SLOW_START_INITIAL_SHARE) * progress;
  }
}
