/** Proofs: each checks one point of what must always hold, from outside, under failure. */
/** One proof against real daemon processes. */
export class Proof {
}
/**
 * Checks an invariant.
 * @param holds - whether it holds
 * @param text - what is violated otherwise
 * @throws Error with the text if it does not hold
 */
export function ensure(holds, text) {
    if (!holds)
        throw new Error(text);
}
//# sourceMappingURL=proof.js.map