/** Least open work, with a random choice among near-equals. */
import { ChoicePolicy } from './choice.js';

import type { ChoiceInput } from './choice.js';
import type { Worker } from './worker.js';

/** Difference in load below which workers count as equal, as a share of capacity. */
const NEAR_LOAD = 0.02;

/** Chooses among the least loaded workers, so that daemons with the same report spread. */
export class LeastOpenPolicy extends ChoicePolicy {
  /**
   * Creates the policy.
   * @param random - random numbers in [0, 1)
   * @param nearLoad - difference that counts as equal, as a share of capacity
   */
  constructor(
    private readonly random: () => number,
    private readonly nearLoad = NEAR_LOAD,
  ) {
    super();
  }

  override choose({ candidates }: ChoiceInput): Worker | undefined {
    let least = Number.POSITIVE_INFINITY;
    for (const { load } of candidates) least = Math.min(least, load);
    let chosen: Worker | undefined;
    let equals = 0;
    for (const { worker, load } of candidates) {
      if (load <= least + this.nearLoad) {
        equals += 1;
        if (this.random() * equals < 1) chosen = worker;
      }
    }
    return chosen;
  }
}
