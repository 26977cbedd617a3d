/** Passive health checks: ejects a failing worker and ramps its traffic up again (slow start). */

/** Consecutive failures after which a worker is ejected. */
const EJECTION_FAILURES = 3;

/** Duration of the first ejection in milliseconds; each further ejection lasts twice as long. */
const FIRST_EJECTION_MS = 2_000;

/** Maximum duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 60_000;

/** Time after an ejection in which a worker regains its full share of traffic, in milliseconds. */
const SLOW_START_MS = 10_000;

/** Share of its capacity that a worker may use immediately after an ejection. */
const SLOW_START_INITIAL_SHARE = 0.1;

/** Thresholds and durations of ejections. */
export interface HealthOptions {
  /** Consecutive failures that cause an ejection. */
  readonly consecutiveFailures: number;
  /** Duration of the first ejection, in milliseconds. */
  readonly firstMs: number;
  /** Maximum duration of an ejection, in milliseconds. */
  readonly longestMs: number;
  /** Time after an ejection in which the full share is regained, in milliseconds. */
  readonly slowStartMs: number;
}

/** Defaults for long-lived workers, which run for hours. */
const DEFAULT_OPTIONS: HealthOptions = {
  consecutiveFailures: EJECTION_FAILURES,
  firstMs: FIRST_EJECTION_MS,
  longestMs: MAX_EJECTION_MS,
  slowStartMs: SLOW_START_MS,
};

/** Tracks failures and ejections of one worker. */
export class Health {
  #consecutiveFailures = 0;

  #ejections = 0;

  #isUnproven = false;

  #ejectedUntil = Number.NEGATIVE_INFINITY;

  /**
   * Creates the record of a healthy worker.
   * @param options - thresholds and durations of ejections
   */
  constructor(private readonly options: HealthOptions = DEFAULT_OPTIONS) {}

  /** Whether the worker has been ejected and has not begun an answer since. */
  get isUnproven(): boolean {
    return this.#isUnproven;
  }

  /** Whether the worker has failed and has not begun an answer since. */
  get isFailing(): boolean {
    return this.#isUnproven || this.#consecutiveFailures > 0;
  }

  /**
   * Records that the worker began an answer.
   * @param now - time in milliseconds
   */
  recordSuccess(now: number): void {
    this.#consecutiveFailures = 0;
    this.#isUnproven = false;
    if (now > this.#ejectedUntil + this.options.slowStartMs) this.#ejections = 0;
  }

  /**
   * Records a failure.
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
   * Returns whether the worker is ejected.
   * @param now - time in milliseconds
   * @returns true while it should receive no requests
   */
  isEjected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  /**
   * Returns the share of its capacity that the worker may use.
   * @param now - time in milliseconds
   * @returns 0 while ejected, then a share that grows linearly to 1 during the slow start
   */
  share(now: number): number {
    if (this.isEjected(now)) return 0;
    const progress = (now - this.#ejectedUntil) / this.options.slowStartMs;
    return progress >= 1 ? 1 : SLOW_START_INITIAL_SHARE + (1 - SLOW_START_INITIAL_SHARE) * progress;
  }
}
