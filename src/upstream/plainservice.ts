/** Abstract client of plain services: upstreams with one request and one complete response. */
import type { Failure, Result } from '../kernel/index.js';

/** A call that is forwarded to a plain service. */
export interface ServiceCall {
  readonly id: string;
  /** Idempotency key, forwarded to the service. */
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly timeoutMs: number;
}

/** The complete answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Forwards calls to plain services. */
export abstract class PlainService {
  /**
   * Forwards one call to a service and reads the complete answer.
   * @param url - base URL of the service
   * @param call - the call
   * @returns the answer, or a failure, whose outcome is "not-run" if the call certainly did not run and "unknown"
   * otherwise
   */
  abstract call(url: string, call: ServiceCall): Promise<Result<ServiceAnswer, Failure>>;
}
