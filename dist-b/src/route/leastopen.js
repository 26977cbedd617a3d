/** Least open work, with a random choice among near-equals. */
import { ChoicePolicy } from './choice.js';
/** Difference in load below which workers count as equal, as a share of capacity. */
const NEAR_LOAD = 0.02;
/** Chooses among the least loaded workers, so that daemons with the same report spread. */
export class LeastOpenPolicy extends ChoicePolicy {
    random;
    nearLoad;
    /**
     * Creates the policy.
     * @param random - random numbers in [0, 1)
     * @param nearLoad - difference that counts as equal, as a share of capacity
     */
    constructor(random, nearLoad = NEAR_LOAD) {
        super();
        this.random = random;
        this.nearLoad = nearLoad;
    }
    choose({ candidates }) {
        let least = Number.POSITIVE_INFINITY;
        for (const { load } of candidates)
            least = Math.min(least, load);
        let chosen;
        let equals = 0;
        for (const { worker, load } of candidates) {
            if (load <= least + this.nearLoad) {
                equals += 1;
                if (this.random() * equals < 1)
                    chosen = worker;
            }
        }
        return chosen;
    }
}
//# sourceMappingURL=leastopen.js.map