/** Choice of the worker for a request. */
import type { Worker } from './worker.js';

/** A worker that may take a request, with its load at the moment of the choice. */
export interface Candidate {
  readonly worker: Worker;
  /** Estimated open requests as a share of the trusted capacity. */
  readonly load: number;
}

/** What a choice is made from. */
export interface LoadBalancingInput {
  /** Workers that have room and may take the request. */
  readonly candidates: readonly Candidate[];
  /** Mean load of the candidates. */
  readonly meanLoad: number;
  /** Time in milliseconds. */
  readonly now: number;
  /** Live daemons that send to the same workers, this one included. */
  readonly daemons: number;
  /** Digests of the prompt at its block boundaries; empty for plain services. */
  readonly digests: readonly number[];
}

/** Decides which worker receives a request. */
export abstract class LoadBalancingPolicy {
  /**
   * Chooses a worker.
   * @param input - candidates and their load
   * @returns the worker; undefined if there is no candidate
   */
  abstract choose(input: LoadBalancingInput): Worker | undefined;

  /**
   * Takes note of where a prompt went.
   * @param _worker - worker that received it
   * @param _digests - digests of the prompt
   */
  recordDispatch(_worker: Worker, _digests: readonly number[]): void {}
}
