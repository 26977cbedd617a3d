/** Prompt-prefix affinity with bounded load. */
import { CacheIndex } from './cacheindex.js';
import { ChoicePolicy } from './choice.js';
import { mix32 } from './digest.js';

import type { Candidate, ChoiceInput } from './choice.js';
import type { Worker } from './worker.js';

/** Blocks of a prompt that decide its home: longer than most shared preambles. */
export const HOME_BLOCKS = 8;

/** Load that a worker may reach for the sake of its cache, as a multiple of the mean. */
export const LOAD_BOUND = 1.15;

/** Load always allowed above the mean, as a share of capacity: an idle pool needs no bound. */
const LOAD_SLACK = 0.02;

/** Prefixes that one daemon remembers for one route. */
const INDEXED_PREFIXES = 20_000;

/** How the affinity is bounded. */
export interface AffinityOptions {
  /** Multiple of the mean load; infinity for affinity without a bound. */
  readonly bound?: number;
  readonly indexedPrefixes?: number;
}

/**
 * Sends a prompt to a worker that holds its prefix, as long as that worker is not overloaded.
 * Where none is known, rendezvous hashing gives every daemon the same home without a message.
 */
export class AffinityPolicy extends ChoicePolicy {
  readonly index: CacheIndex;

  readonly #bound: number;

  /**
   * Creates the policy.
   * @param options - bound and memory
   */
  constructor(options: AffinityOptions = {}) {
    super();
    this.#bound = options.bound ?? LOAD_BOUND;
    this.index = new CacheIndex(options.indexedPrefixes ?? INDEXED_PREFIXES);
  }

  override choose({ candidates, meanLoad, digests }: ChoiceInput): Worker | undefined {
    const limit = meanLoad * this.#bound + LOAD_SLACK;
    const home = digests[Math.min(HOME_BLOCKS, digests.length) - 1] ?? 0;
    const first = AffinityPolicy.#preferred(candidates, home, limit);
    const [top] = first;
    if (!top) return undefined;
    if (first.length === 1 || this.#holds(top, digests)) return top;
    return this.#holder(candidates, digests, limit) ?? top;
  }

  override noteDispatch(worker: Worker, digests: readonly number[]): void {
    this.index.add(worker.name, digests);
  }

  #holds(worker: Worker, digests: readonly number[]): boolean {
    const home = digests[Math.min(HOME_BLOCKS, digests.length) - 1];
    return home !== undefined && this.index.holders(home).includes(worker.name);
  }

  /** The worker below the limit that holds most of the prompt. */
  #holder(
    candidates: readonly Candidate[],
    digests: readonly number[],
    limit: number,
  ): Worker | undefined {
    for (let depth = digests.length - 1; depth >= 0; depth -= 1) {
      const holders = this.index.holders(digests[depth] ?? 0);
      if (holders.length > 0) {
        const found = candidates.find(
          ({ worker, load }) => load <= limit && holders.includes(worker.name),
        );
        if (found) return found.worker;
      }
    }
    return undefined;
  }

  /** The preferred worker below the limit; a second entry marks that the very home is above it. */
  static #preferred(
    candidates: readonly Candidate[],
    home: number,
    limit: number,
  ): readonly Worker[] {
    let allowed: Worker | undefined;
    let allowedScore = -1;
    let any: Worker | undefined;
    let anyScore = -1;
    for (const { worker, load } of candidates) {
      const score = mix32(home, worker.seed);
      if (score > anyScore) {
        any = worker;
        anyScore = score;
      }
      if (load <= limit && score > allowedScore) {
        allowed = worker;
        allowedScore = score;
      }
    }
    if (!any) return [];
    if (!allowed || allowed === any) return [any];
    return [allowed, any];
  }
}
