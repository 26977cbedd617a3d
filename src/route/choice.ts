/** Choice of the upstream for a request. */
import type { UpstreamDocument } from '../config/index.js';

/** What a choice is made from. */
export interface ChoiceInput {
  readonly upstreams: readonly UpstreamDocument[];
  /** Upstreams that earlier attempts of the request have tried. */
  readonly excluded: readonly string[];
  /** Open requests that this daemon has at an upstream. */
  readonly openAt: (upstream: string) => number;
}

/** Decides which upstream receives a request. */
export abstract class ChoicePolicy {
  /**
   * Chooses an upstream.
   * @param input - candidates and their load
   * @returns the upstream; undefined if none may take the request
   */
  abstract choose(input: ChoiceInput): UpstreamDocument | undefined;
}
