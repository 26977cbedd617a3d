/** Affinity by prompt prefix with bounded load. */
import { CacheIndex } from './cacheindex.js';
import { ChoicePolicy } from './choice.js';
import { mix32 } from './digest.js';
import { HotPrefixes } from './hotprefixes.js';
import { RandomOfTwoPolicy } from './randomoftwo.js';

import type { Candidate, ChoiceInput } from './choice.js';
import type { Worker } from './worker.js';

/** Blocks of a prompt that decide its home: longer than most shared preambles. */
export const HOME_BLOCKS = 8;

/** Load that a worker may reach for the sake of its cache, as a multiple of the mean. */
export const LOAD_BOUND = 1.15;

/** Load always allowed above the mean, as a share of capacity: an idle pool needs no bound. */
const LOAD_SLACK = 0.02;

/** Age that a report commonly reaches before the next one, in seconds. */
const REPORT_SECONDS = 1;

/** Share of the pool's room from which prompts that begin alike are scattered. */
const FLOOD_SHARE = 0.25;

/** Prefixes that one daemon remembers for one route. */
const INDEXED_PREFIXES = 20_000;

/** How the affinity is bounded. */
export interface AffinityOptions {
  /** Multiple of the mean load; infinity for affinity without a bound. */
  readonly bound?: number;
  readonly indexedPrefixes?: number;
  /** Random numbers in [0, 1), to spread a prefix that is asked for everywhere. */
  readonly random?: () => number;
}

/**
 * Sends a prompt to a worker that holds its prefix, as long as that worker is not overloaded.
 * Where none is known, rendezvous hashing gives every daemon the same home without a message.
 */
export class AffinityPolicy extends ChoicePolicy {
  readonly index: CacheIndex;

  readonly #bound: number;

  readonly #random: () => number;

  readonly #hot = new HotPrefixes();

  readonly #scatter: RandomOfTwoPolicy;

  /**
   * Creates the policy.
   * @param options - bound and memory
   */
  constructor(options: AffinityOptions = {}) {
    super();
    this.#bound = options.bound ?? LOAD_BOUND;
    this.#random = options.random ?? Math.random;
    this.#scatter = new RandomOfTwoPolicy(this.#random);
    this.index = new CacheIndex(options.indexedPrefixes ?? INDEXED_PREFIXES);
  }

  override choose(input: ChoiceInput): Worker | undefined {
    const { candidates, meanLoad, digests } = input;
    const limit = meanLoad * this.#bound + LOAD_SLACK;
    if (this.#isFlood(input, limit - meanLoad)) return this.#scatter.choose(input);
    const spread = this.#spread(input, limit - meanLoad);
    const own = digests[Math.min(HOME_BLOCKS, digests.length) - 1] ?? 0;
    const home = spread === 0 ? own : mix32(own, spread);
    const first = AffinityPolicy.#preferred(candidates, home, limit);
    const [top] = first;
    if (!top) return undefined;
    if (first.length === 1 || spread > 0 || this.#holds(top, digests)) return top;
    return this.#holder(candidates, digests, limit) ?? top;
  }

  override noteDispatch(worker: Worker, digests: readonly number[]): void {
    this.index.add(worker.name, digests);
  }

  /**
   * Says whether prompts that begin alike take so much of the pool's room between two reports that
   * new prefixes among them would pile up on workers whose load nobody has seen yet.
   */
  #isFlood({ candidates, digests, now, daemons }: ChoiceInput, room: number): boolean {
    const [first] = digests;
    const capacity = candidates[0]?.worker.capacity ?? 0;
    if (first === undefined || this.#bound === Number.POSITIVE_INFINITY) return false;
    const perReport = this.#hot.count(first, now) * (daemons - 1) * REPORT_SECONDS;
    return perReport > capacity * room * candidates.length * FLOOD_SHARE;
  }

  /**
   * Draws one of the homes of a prefix: one, unless the fleet would send more to it between two
   * reports than a worker has room for.
   */
  #spread({ candidates, digests, now, daemons }: ChoiceInput, room: number): number {
    const home = digests[Math.min(HOME_BLOCKS, digests.length) - 1];
    const capacity = candidates[0]?.worker.capacity ?? 0;
    if (home === undefined || this.#bound === Number.POSITIVE_INFINITY) return 0;
    const perReport = this.#hot.count(home, now) * (daemons - 1) * REPORT_SECONDS;
    const homes = Math.min(candidates.length, 1 + Math.floor(perReport / (capacity * room)));
    return homes <= 1 ? 0 : Math.floor(this.#random() * homes);
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
