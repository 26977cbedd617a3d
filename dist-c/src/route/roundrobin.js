/** Round robin: a baseline of the choice policies. */
import { ChoicePolicy } from './choice.js';
/** Chooses the workers in turn. */
export class RoundRobinPolicy extends ChoicePolicy {
    #turn;
    /**
     * Creates the policy.
     * @param random - random numbers in [0, 1); daemons begin at different workers
     */
    constructor(random) {
        super();
        this.#turn = Math.floor(random() * 1_024);
    }
    choose({ candidates }) {
        this.#turn += 1;
        return candidates[this.#turn % Math.max(1, candidates.length)]?.worker;
    }
}
//# sourceMappingURL=roundrobin.js.map