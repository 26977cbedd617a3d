/** What one daemon knows of one worker: own open work, the last report, failures and speed. */
import { hash32 } from '../kernel/index.js';
import { Health } from './health.js';

/** Weight of the newest first-token delay in the moving average. */
const DELAY_WEIGHT = 0.2;

/** Answers before the delay of a worker is judged. */
const MIN_DELAY_SAMPLES = 5;

/** Own changes older than this are in every report, in milliseconds. */
const CHANGE_HISTORY_MS = 5_000;

/** Load of a worker as it reports it. */
export interface LoadReport {
  /** Requests that the worker runs or has queued. */
  readonly open: number;
  /** Age of the report when it arrived, in milliseconds. */
  readonly ageMs: number;
}

/** A request that began or ended at the worker. */
interface OpenChange {
  readonly at: number;
  readonly change: 1 | -1;
}

/** Estimates the load of one worker. */
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

  /** Room that this daemon may use until the next report. */
  #allotment = Number.POSITIVE_INFINITY;

  #meanDelayMs = 0;

  #delaySamples = 0;

  /**
   * Creates the record of a worker.
   * @param name - upstream name
   * @param capacity - requests that it may hold open at once
   */
  constructor(
    readonly name: string,
    readonly capacity: number,
  ) {
    this.seed = hash32(name);
  }

  /** Open requests of this daemon at the worker. */
  get open(): number {
    return this.#open;
  }

  /** Estimated open requests of all daemons at the worker. */
  get estimatedOpen(): number {
    if (this.#reportedOpen === undefined) return this.#open;
    return Math.max(this.#open, this.#reportedOpen + this.#changeSinceReport);
  }

  /** Requests that this daemon may still send when the worker is nearly full. */
  get allotment(): number {
    return this.#allotment;
  }

  /**
   * Gives the age of what the last report says.
   * @param now - time in milliseconds
   * @returns milliseconds; 0 without a report
   */
  reportAgeMs(now: number): number {
    return this.#reportedOpen === undefined ? 0 : now - this.#reportMadeAt;
  }

  /** Time of the last report in milliseconds; negative infinity before the first. */
  get reportedAt(): number {
    return this.#reportedAt;
  }

  /** Mean delay of the first token in milliseconds; undefined until enough were seen. */
  get delayMs(): number | undefined {
    return this.#delaySamples < MIN_DELAY_SAMPLES ? undefined : this.#meanDelayMs;
  }

  /**
   * Takes note of a request that begins or ends.
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
   * Takes a load report, corrected for what this daemon has sent since it was made.
   * @param report - the report
   * The room that it shows is divided between the daemons, which all see the same report.
   * @param report - the report
   * @param now - time in milliseconds
   * @param share - share of the room that falls to this daemon
   * @param draw - random number in [0, 1), for a fraction of a request
   */
  recordReport({ open, ageMs }: LoadReport, now: number, share = 1, draw = 0): void {
    const madeAt = now - Math.min(ageMs, CHANGE_HISTORY_MS);
    this.#reportMadeAt = madeAt;
    if (this.#changes.length > 0) this.#discardChangesBefore(madeAt);
    this.#reportedOpen = open;
    this.#reportedAt = now;
    this.#allotment = Math.floor(Math.max(0, this.capacity - this.estimatedOpen) * share + draw);
  }

  /** Forgets a report that is too old: only the own work is known then. */
  discardReport(): void {
    this.#reportedOpen = undefined;
    this.#changes = [];
    this.#changeSinceReport = 0;
    this.#allotment = Number.POSITIVE_INFINITY;
  }

  /**
   * Takes note of the delay of a first token.
   * @param delayMs - from dispatch, in milliseconds
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
