/** Proofs: each checks one point of what must always hold, from outside, under failure. */

/** What a proof runs with. */
export interface ProofContext {
  readonly seed: number;
  /** Random numbers in [0, 1) that follow from the seed. */
  readonly random: () => number;
  /** Prints a line about what was done or seen. */
  readonly say: (text: string) => void;
}

/** One proof against real daemon processes. */
export abstract class Proof {
  /** Name on the command line. */
  abstract readonly name: string;

  /** The point of the brief that it proves. */
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
 * @param holds - whether it holds
 * @param text - what is violated otherwise
 * @throws Error with the text if it does not hold
 */
export function ensure(holds: boolean, text: string): asserts holds {
  if (!holds) throw new Error(text);
}
