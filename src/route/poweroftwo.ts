/** Random of two: a baseline of the choice policies. */
import { LoadBalancingPolicy } from './loadbalancingpolicy.js';

import type { Candidate, LoadBalancingInput } from './loadbalancingpolicy.js';
import type { Worker } from './worker.js';

/** Draws two workers and chooses the one with less load. */
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
