/** Abstract client of model engines; paths, headers and field names are left to the subclasses. */
import type { Failure, Result } from '../kernel/index.js';
import type { ModelCall, StreamItem } from './modelcall.js';

/** Sends requests to model engines and cancels them. */
export abstract class ModelEngine {
  /**
   * Sends a request to an engine.
   * @param url - base URL of the engine
   * @param call - the request
   * @param signal - aborts the request, which also cancels it at the engine
   * @returns the answer stream, as soon as the engine has accepted the request; or a failure, whose outcome is
   * "not-run" only if the request certainly did not run
   */
  abstract generate(
    url: string,
    call: ModelCall,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<StreamItem>, Failure>>;

  /**
   * Cancels a request over a separate connection, since that of the answer may no longer respond.
   * @param url - base URL of the engine
   * @param id - id of the attempt
   * @returns whether the engine confirmed the cancellation
   */
  abstract cancel(url: string, id: string): Promise<boolean>;
}
