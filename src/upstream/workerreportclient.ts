/** Abstract client for the load and the cache events of workers. */
import type { Failure, Result } from '../kernel/index.js';

/** What a worker says about itself; it lags behind. */
export interface WorkerReport {
  /** Requests that it runs or has queued. */
  readonly open: number;
  /** Age of the figure, in milliseconds. */
  readonly ageMs: number;
  /** Sequence of the last cache event that it has published. */
  readonly sequence: number;
  /** Digests of prompt prefixes that it has stored since; some may be missing. */
  readonly stored: readonly number[];
  /** Digests that it has dropped since; some may be missing. */
  readonly evicted: readonly number[];
}

/** Reads the reports of workers. */
export abstract class WorkerReportClient {
  /**
   * Reads the report of one worker.
   * @param url - base address of the worker
   * @param after - sequence of the last cache event that is known
   * @returns the report; a failure if the worker does not report
   */
  abstract read(url: string, after: number): Promise<Result<WorkerReport, Failure>>;
}
