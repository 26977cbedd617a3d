/** Abstract client of the reports of workers: their load and their cache events. */
import type { Failure, Result } from '../kernel/index.js';

/** Load and cache events of a worker. The values may be out of date. */
export interface WorkerReport {
  /** Number of requests that are running or queued. */
  readonly open: number;
  /** Age of "open", in milliseconds. */
  readonly ageMs: number;
  /** Sequence number of the last published cache event. */
  readonly sequence: number;
  /** Digests of the prompt prefixes cached since the given sequence number; may be incomplete. */
  readonly stored: readonly number[];
  /** Digests of the prompt prefixes evicted since then; may be incomplete. */
  readonly evicted: readonly number[];
}

/** Fetches the reports of workers. */
export abstract class WorkerReportClient {
  /**
   * Fetches the report of one worker.
   * @param url - base URL of the worker
   * @param after - sequence number of the last cache event that has been received
   * @returns the report, or a failure if the worker gives none
   */
  abstract read(url: string, after: number): Promise<Result<WorkerReport, Failure>>;
}
