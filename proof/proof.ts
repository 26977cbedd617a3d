/** Base of the proofs; each checks one requirement on real daemons while faults are injected. */

/** Context of a proof run. */
export interface ProofContext {
  readonly seed: number;
  /** Pseudo-random numbers in [0, 1), determined by the seed. */
  readonly random: () => number;
  /** Prints a line about an injected fault or an observation. */
  readonly say: (text: string) => void;
}

/** A proof that runs against real daemon processes. */
export abstract class Proof {
  /** Name on the command line. */
  abstract readonly name: string;

  /** Requirement that it checks; printed with the result. */
  abstract readonly requirement: string;

  /** Whether it belongs to the short set that CI runs. */
  abstract readonly short: boolean;

  /**
   * Runs the proof.
   * @param ctx - seed and random numbers
   * @throws Error that names what was violated
   */
  abstract run(ctx: ProofContext): Promise<void>;
}

/**
 * Checks an invariant.
 * @param holds - whether the invariant holds
 * @param text - message of the error, naming the violation
 * @throws Error with the text if the invariant does not hold
 */
export function ensure(holds: boolean, text: string): asserts holds {
  if (!holds) throw new Error(text);
}
