/** Abstract client of model engines; only its subclasses know paths, headers and fields. */
import type { Failure, Result } from '../kernel/index.js';
import type { ModelCall, StreamItem } from './modelcall.js';

/** Speaks to model engines. */
export abstract class ModelEngine {
  /**
   * Sends a request to an engine.
   * @param url - base address of the engine
   * @param call - the request
   * @param signal - aborts the request, and cancels it at the engine
   * @returns the answer stream once the engine has accepted; a "not-run" failure is proved
   */
  abstract generate(
    url: string,
    call: ModelCall,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<StreamItem>, Failure>>;

  /**
   * Cancels a request over a connection of its own, since that of the answer may be silent.
   * @param url - base address of the engine
   * @param id - id of the attempt
   * @returns whether the engine has confirmed
   */
  abstract cancel(url: string, id: string): Promise<boolean>;
}
