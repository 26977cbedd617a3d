/** Affinity by prompt prefix with bounded load. */
import { CacheIndex } from './cacheindex.js';
import { LoadBalancingPolicy } from './loadbalancingpolicy.js';
import { mix32 } from './digest.js';
import { PrefixRates } from './prefixrates.js';
import { PowerOfTwoPolicy } from './poweroftwo.js';

import type { Candidate, LoadBalancingInput } from './loadbalancingpolicy.js';
import type { Worker } from './worker.js';

/** Blocks of a prompt that decide its home: longer than most shared preambles. */
export const AFFINITY_BLOCKS = 8;

/** Load that a worker may reach for the sake of its cache, as a multiple of the mean. */
export const LOAD_BOUND = 1.15;

/** Load always allowed above the mean, as a share of capacity: an idle pool needs no bound. */
const LOAD_SLACK = 0.02;

/** Age that a report commonly reaches before the next one, in seconds. */
const REPORT_INTERVAL_SECONDS = 1;

/** Share of the pool's room from which prompts that begin alike are scattered. */
const BURST_SHARE = 0.25;

/** Prefixes that one daemon remembers for one route. */
const MAX_INDEXED_PREFIXES = 20_000;

/** How the affinity is bounded. */
export interface AffinityOptions {
  /** Multiple of the mean load; infinity for affinity without a bound. */
  readonly bound?: number;
  readonly maxIndexedPrefixes?: number;
  /** Random numbers in [0, 1), to spread a prefix that is asked for everywhere. */
  readonly random?: () => number;
}

/**
 * Sends a prompt to a worker that holds its prefix, as long as that worker is not overloaded.
 * Where none is known, rendezvous hashing gives every daemon the same home without a message.
 */
export class AffinityPolicy extends LoadBalancingPolicy {
  readonly index: CacheIndex;

  readonly #bound: number;

  readonly #random: () => number;

  readonly #prefixRates = new PrefixRates();

  readonly #burstPolicy: PowerOfTwoPolicy;

  /**
   * Creates the policy.
   * @param options - bound and memory
   */
  constructor(options: AffinityOptions = {}) {
    super();
    this.#bound = options.bound ?? LOAD_BOUND;
    this.#random = options.random ?? Math.random;
    this.#burstPolicy = new PowerOfTwoPolicy(this.#random);
    this.index = new CacheIndex(options.maxIndexedPrefixes ?? MAX_INDEXED_PREFIXES);
  }

  override choose(input: LoadBalancingInput): Worker | undefined {
    const { candidates, meanLoad, digests } = input;
    const limit = meanLoad * this.#bound + LOAD_SLACK;
    if (this.#isBurst(input, limit - meanLoad)) return this.#burstPolicy.choose(input);
    const replica = this.#drawReplica(input, limit - meanLoad);
    const affinityDigest = digests[Math.min(AFFINITY_BLOCKS, digests.length) - 1] ?? 0;
    const rendezvousKey = replica === 0 ? affinityDigest : mix32(affinityDigest, replica);
    const preferred = AffinityPolicy.#preferredWorkers(candidates, rendezvousKey, limit);
    const [best] = preferred;
    if (!best) return undefined;
    if (preferred.length === 1 || replica > 0 || this.#holdsPrefix(best, digests)) return best;
    return this.#findHolder(candidates, digests, limit) ?? best;
  }

  override recordDispatch(worker: Worker, digests: readonly number[]): void {
    this.index.add(worker.name, digests);
  }

  /**
   * Says whether prompts that begin alike take so much of the pool's room between two reports that
   * new prefixes among them would pile up on workers whose load nobody has seen yet.
   */
  #isBurst({ candidates, digests, now, daemons }: LoadBalancingInput, loadMargin: number): boolean {
    const [first] = digests;
    const capacity = candidates[0]?.worker.capacity ?? 0;
    if (first === undefined || this.#bound === Number.POSITIVE_INFINITY) return false;
    const sentPerReport =
      this.#prefixRates.count(first, now) * (daemons - 1) * REPORT_INTERVAL_SECONDS;
    return sentPerReport > capacity * loadMargin * candidates.length * BURST_SHARE;
  }

  /**
   * Draws one of the homes of a prefix: one, unless the fleet would send more to it between two
   * reports than a worker has room for.
   */
  #drawReplica(
    { candidates, digests, now, daemons }: LoadBalancingInput,
    loadMargin: number,
  ): number {
    const affinityDigest = digests[Math.min(AFFINITY_BLOCKS, digests.length) - 1];
    const capacity = candidates[0]?.worker.capacity ?? 0;
    if (affinityDigest === undefined || this.#bound === Number.POSITIVE_INFINITY) return 0;
    const sentPerReport =
      this.#prefixRates.count(affinityDigest, now) * (daemons - 1) * REPORT_INTERVAL_SECONDS;
    const replicas = Math.min(
      candidates.length,
      1 + Math.floor(sentPerReport / (capacity * loadMargin)),
    );
    return replicas <= 1 ? 0 : Math.floor(this.#random() * replicas);
  }

  #holdsPrefix(worker: Worker, digests: readonly number[]): boolean {
    const affinityDigest = digests[Math.min(AFFINITY_BLOCKS, digests.length) - 1];
    return affinityDigest !== undefined && this.index.holders(affinityDigest).includes(worker.name);
  }

  /** The worker below the limit that holds most of the prompt. */
  #findHolder(
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
  static #preferredWorkers(
    candidates: readonly Candidate[],
    rendezvousKey: number,
    limit: number,
  ): readonly Worker[] {
    let allowed: Worker | undefined;
    let allowedScore = -1;
    let best: Worker | undefined;
    let bestScore = -1;
    for (const { worker, load } of candidates) {
      const score = mix32(rendezvousKey, worker.seed);
      if (score > bestScore) {
        best = worker;
        bestScore = score;
      }
      if (load <= limit && score > allowedScore) {
        allowed = worker;
        allowedScore = score;
      }
    }
    if (!best) return [];
    if (!allowed || allowed === best) return [best];
    return [allowed, best];
  }
}
