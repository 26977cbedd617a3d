/** Random of two: a baseline of the choice policies. */
import { ChoicePolicy } from './choice.js';
/** Draws two workers and chooses the one with less load. */
export class RandomOfTwoPolicy extends ChoicePolicy {
    random;
    /**
     * Creates the policy.
     * @param random - random numbers in [0, 1)
     */
    constructor(random) {
        super();
        this.random = random;
    }
    choose({ candidates }) {
        const first = this.#draw(candidates);
        const second = this.#draw(candidates);
        if (!first || !second)
            return undefined;
        return first.load <= second.load ? first.worker : second.worker;
    }
    #draw(candidates) {
        return candidates[Math.floor(this.random() * candidates.length)];
    }
}
//# sourceMappingURL=randomoftwo.js.map