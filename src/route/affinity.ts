/** Affinity of shared prompt prefixes, with bounded load. */
import { CacheIndex } from './cacheindex.js';
import { LoadBalancingPolicy } from './loadbalancingpolicy.js';
import { mix32 } from './digest.js';
import { PrefixRates } from './prefixrates.js';
import { PowerOfTwoPolicy } from './poweroftwo.js';

import type { Candidate, LoadBalancingInput } from './loadbalancingpolicy.js';
import type { Worker } from './worker.js';

/** Leading prompt blocks that determine the preferred worker; longer than most shared preambles. */
export const AFFINITY_BLOCKS = 8;

/** Load up to which a worker is preferred for its cached prefixes, as a multiple of the mean load. */
export const LOAD_BOUND = 1.15;

/** Load always allowed above the mean, as a share of capacity: a nearly idle pool needs no bound. */
const LOAD_SLACK = 0.02;

/** Typical interval between two load reports of a worker, in seconds. */
const REPORT_INTERVAL_SECONDS = 1;

/**
 * Share of the pool's spare capacity below the load limit. Prompts with the same first block that
 * would fill more than this between two load reports are distributed by load instead of by prefix.
 */
const BURST_SHARE = 0.25;

/** Maximum number of prefixes that one daemon indexes for one route. */
const MAX_INDEXED_PREFIXES = 20_000;

/** Options of the affinity policy. */
export interface AffinityOptions {
  /** Load limit of a preferred worker as a multiple of the mean load; infinity for no limit. */
  readonly bound?: number;
  readonly maxIndexedPrefixes?: number;
  /** Random numbers in [0, 1); distribute a frequent prefix over several workers. */
  readonly random?: () => number;
}

/**
 * Sends a prompt to a worker that has its prefix cached, as long as that worker is not overloaded.
 * If no such worker is known, rendezvous hashing selects the same preferred worker in every daemon
 * without any communication.
 */
export class AffinityPolicy extends LoadBalancingPolicy {
  readonly index: CacheIndex;

  readonly #bound: number;

  readonly #random: () => number;

  readonly #prefixRates = new PrefixRates();

  readonly #burstPolicy: PowerOfTwoPolicy;

  /**
   * Creates the policy.
   * @param options - load limit, index size and random numbers
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
   * Estimates from the rate at this daemon whether the other daemons send so many prompts with the
   * same first block between two load reports that these fill more than BURST_SHARE of the pool's
   * spare capacity. Sending each new prefix among them to a single worker could then overload it
   * before a load report shows this.
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
   * Draws the replica of a prefix that serves this request. There is only replica 0 unless the fleet
   * would send more requests with the prefix between two load reports than one worker has room for.
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

  /** Finds the worker below the load limit that has the longest prefix of the prompt cached. */
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

  /**
   * Returns the worker with the highest rendezvous score below the load limit. If the worker with
   * the highest score overall is above the limit, it follows as the second entry. If all workers are
   * above the limit, the highest score overall is the only entry.
   */
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
