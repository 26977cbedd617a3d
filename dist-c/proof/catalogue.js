/** Every proof, in the order in which they run. */
import { DepartureProof } from './departure.js';
import { GracefulStopProof } from './gracefulstop.js';
import { OwnAnswerProof } from './ownanswer.js';
/** The proofs. */
export const PROOFS = [
    new OwnAnswerProof(),
    new GracefulStopProof(),
    new DepartureProof(),
];
//# sourceMappingURL=catalogue.js.map