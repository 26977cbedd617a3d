/** Power-of-two-choices policy; baseline for comparison, and used by the affinity policy in bursts. */
import { LoadBalancingPolicy } from './loadbalancingpolicy.js';

import type { Candidate, LoadBalancingInput } from './loadbalancingpolicy.js';
import type { Worker } from './worker.js';

/** Draws two random workers and chooses the less loaded one. */
export class PowerOfTwoPolicy extends LoadBalancingPolicy {
  /**
   * Creates the policy.
   * @param random - random numbers in [0, 1)
   */
  constructor(private readonly random: () => number) {
    super();
  }

  override choose({ candidates }: LoadBalancingInput): Worker | undefined {
    const first = this.#draw(candidates);
    const second = this.#draw(candidates);
    if (!first || !second) return undefined;
    return first.load <= second.load ? first.worker : second.worker;
  }

  #draw(candidates: readonly Candidate[]): Candidate | undefined {
    return candidates[Math.floor(this.random() * candidates.length)];
  }
}
