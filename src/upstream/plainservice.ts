/** Abstract client of plain services. */
import type { Failure, Result } from '../kernel/index.js';

/** A call that is passed to a plain service. */
export interface ServiceCall {
  readonly id: string;
  /** Idempotency key, passed on to the service. */
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly timeoutMs: number;
}

/** The whole answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Speaks to plain services. */
export abstract class PlainService {
  /**
   * Passes one call to a service and reads its whole answer.
   * @param url - base address of the service
   * @param call - the call
   * @returns the answer; a "not-run" failure is proved, otherwise the outcome is "unknown"
   */
  abstract call(url: string, call: ServiceCall): Promise<Result<ServiceAnswer, Failure>>;
}
