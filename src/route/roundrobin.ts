/** Round-robin policy; a baseline for comparing load balancing policies. */
import { LoadBalancingPolicy } from './loadbalancingpolicy.js';

import type { LoadBalancingInput } from './loadbalancingpolicy.js';
import type { Worker } from './worker.js';

/** Chooses the workers in turn. */
export class RoundRobinPolicy extends LoadBalancingPolicy {
  #turn: number;

  /**
   * Creates the policy.
   * @param random - random numbers in [0, 1); set the starting offset, which differs between daemons
   */
  constructor(random: () => number) {
    super();
    this.#turn = Math.floor(random() * 1_024);
  }

  override choose({ candidates }: LoadBalancingInput): Worker | undefined {
    this.#turn += 1;
    return candidates[this.#turn % Math.max(1, candidates.length)]?.worker;
  }
}
