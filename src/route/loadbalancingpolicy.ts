/** Interface of the policies that select the worker for a request. */
import type { Worker } from './worker.js';

/** A worker that may receive the request, with its load at the time of the decision. */
export interface Candidate {
  readonly worker: Worker;
  /** Estimated open requests as a share of the capacity that the worker is currently trusted with. */
  readonly load: number;
}

/** Input of a load balancing decision. */
export interface LoadBalancingInput {
  /** Workers that have spare capacity and may receive the request. */
  readonly candidates: readonly Candidate[];
  /** Mean load of the healthy workers, as a share of capacity. */
  readonly meanLoad: number;
  /** Current time, in milliseconds. */
  readonly now: number;
  /** Number of live daemons that send to the same workers, this one included. */
  readonly daemons: number;
  /** Prefix digests of the prompt, one per block; empty for services without prompts. */
  readonly digests: readonly number[];
}

/** Selects the worker that receives a request. */
export abstract class LoadBalancingPolicy {
  /**
   * Chooses a worker.
   * @param input - candidates, their loads and the prompt digests
   * @returns the worker; undefined if there is no candidate
   */
  abstract choose(input: LoadBalancingInput): Worker | undefined;

  /**
   * Records which worker received a prompt; does nothing by default.
   * @param _worker - worker that received it
   * @param _digests - prefix digests of the prompt
   */
  recordDispatch(_worker: Worker, _digests: readonly number[]): void {}
}
