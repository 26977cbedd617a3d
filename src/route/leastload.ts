/** Least-load policy with a random choice among workers of nearly equal load. */
import { LoadBalancingPolicy } from './loadbalancingpolicy.js';

import type { LoadBalancingInput } from './loadbalancingpolicy.js';
import type { Worker } from './worker.js';

/** Load difference up to which workers count as equally loaded, as a share of capacity. */
const EQUAL_LOAD_MARGIN = 0.02;

/**
 * Chooses randomly among the least loaded workers, so that daemons which have received the same load
 * report do not all choose the same worker.
 */
export class LeastLoadPolicy extends LoadBalancingPolicy {
  /**
   * Creates the policy.
   * @param random - random numbers in [0, 1)
   * @param equalLoadMargin - load difference that counts as equal, as a share of capacity
   */
  constructor(
    private readonly random: () => number,
    private readonly equalLoadMargin = EQUAL_LOAD_MARGIN,
  ) {
    super();
  }

  override choose({ candidates }: LoadBalancingInput): Worker | undefined {
    let least = Number.POSITIVE_INFINITY;
    for (const { load } of candidates) least = Math.min(least, load);
    let chosen: Worker | undefined;
    let tied = 0;
    for (const { worker, load } of candidates) {
      if (load <= least + this.equalLoadMargin) {
        tied += 1;
        if (this.random() * tied < 1) chosen = worker;
      }
    }
    return chosen;
  }
}
