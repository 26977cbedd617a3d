/** Record of one worker at one daemon: own open requests, last load report, health and speed. */
import { hash32 } from '../kernel/index.js';
import { Health } from './health.js';

/** Weight of the newest first-token delay in the moving average. */
const DELAY_WEIGHT = 0.2;

/** Answers required before the mean delay of a worker is used. */
const MIN_DELAY_SAMPLES = 5;

/**
 * Maximum assumed age of a load report, in milliseconds: changes by this daemon that are older are
 * taken to be included in every report.
 */
const CHANGE_HISTORY_MS = 5_000;

/** Load as reported by a worker. */
export interface LoadReport {
  /** Requests running or queued at the worker. */
  readonly open: number;
  /** Age of the report on arrival, in milliseconds. */
  readonly ageMs: number;
}

/** A request of this daemon that began or ended at the worker. */
interface OpenChange {
  readonly at: number;
  readonly change: 1 | -1;
}

/** Estimates the load of one worker and tracks its delay and health. */
export class Worker {
  /** Hash of the name, for rendezvous hashing. */
  readonly seed: number;

  readonly health = new Health();

  #open = 0;

  #reportedOpen: number | undefined;

  #reportedAt = Number.NEGATIVE_INFINITY;

  #reportMadeAt = Number.NEGATIVE_INFINITY;

  #changeSinceReport = 0;

  #changes: OpenChange[] = [];

  /** Requests that this daemon may still send before the next report. */
  #allotment = Number.POSITIVE_INFINITY;

  #meanDelayMs = 0;

  #delaySamples = 0;

  /**
   * Creates the record of a worker.
   * @param name - identifier of the worker
   * @param capacity - maximum number of open requests
   */
  constructor(
    readonly name: string,
    readonly capacity: number,
  ) {
    this.seed = hash32(name);
  }

  /** Number of open requests of this daemon at the worker. */
  get open(): number {
    return this.#open;
  }

  /** Estimated number of open requests of all daemons at the worker. */
  get estimatedOpen(): number {
    if (this.#reportedOpen === undefined) return this.#open;
    return Math.max(this.#open, this.#reportedOpen + this.#changeSinceReport);
  }

  /** Requests that this daemon may still send before the next report while the worker is nearly full. */
  get allotment(): number {
    return this.#allotment;
  }

  /**
   * Returns the time since the last load report was made.
   * @param now - time in milliseconds
   * @returns milliseconds; 0 if there is no report
   */
  reportAgeMs(now: number): number {
    return this.#reportedOpen === undefined ? 0 : now - this.#reportMadeAt;
  }

  /** Arrival time of the last report in milliseconds; negative infinity before the first. */
  get reportedAt(): number {
    return this.#reportedAt;
  }

  /** Mean first-token delay in milliseconds; undefined until there are enough samples. */
  get delayMs(): number | undefined {
    return this.#delaySamples < MIN_DELAY_SAMPLES ? undefined : this.#meanDelayMs;
  }

  /**
   * Records a request that begins or ends.
   * @param change - 1 when it begins, -1 when it ends
   * @param now - time in milliseconds
   */
  count(change: 1 | -1, now: number): void {
    this.#open += change;
    this.#allotment -= change;
    if (this.#reportedOpen === undefined) return;
    this.#changeSinceReport += change;
    this.#changes.push({ at: now, change });
  }

  /**
   * Applies a load report, corrected for requests of this daemon that began or ended after it was made.
   * The spare capacity is divided between the daemons, because all of them receive the same report.
   * @param report - the report
   * @param now - time in milliseconds
   * @param share - share of the spare capacity that this daemon may use
   * @param draw - random number in [0, 1) that rounds a fraction of a request up or down
   */
  recordReport({ open, ageMs }: LoadReport, now: number, share = 1, draw = 0): void {
    const madeAt = now - Math.min(ageMs, CHANGE_HISTORY_MS);
    this.#reportMadeAt = madeAt;
    if (this.#changes.length > 0) this.#discardChangesBefore(madeAt);
    this.#reportedOpen = open;
    this.#reportedAt = now;
    this.#allotment = Math.floor(Math.max(0, this.capacity - this.estimatedOpen) * share + draw);
  }

  /** Discards a report that is too old; the estimate then counts only requests of this daemon. */
  discardReport(): void {
    this.#reportedOpen = undefined;
    this.#changes = [];
    this.#changeSinceReport = 0;
    this.#allotment = Number.POSITIVE_INFINITY;
  }

  /**
   * Records the delay of a first token.
   * @param delayMs - time since the dispatch, in milliseconds
   */
  recordDelay(delayMs: number): void {
    this.#delaySamples += 1;
    const weight = Math.max(DELAY_WEIGHT, 1 / this.#delaySamples);
    this.#meanDelayMs += (delayMs - this.#meanDelayMs) * weight;
  }

  #discardChangesBefore(madeAt: number): void {
    this.#changes = this.#changes.filter(({ at }) => at > madeAt);
    this.#changeSinceReport = this.#changes.reduce((sum, { change }) => sum + change, 0);
  }
}
