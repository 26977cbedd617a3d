/** Figures of the benchmarks and their bounds. */

/** Which side of a bound is good. */
export type Comparison = 'at-most' | 'at-least';

/** One measured figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Bound from the stated target; absent where none is stated. */
  readonly bound?: number;
  readonly comparison?: Comparison;
}

/** What a benchmark group runs with. */
export interface BenchContext {
  readonly seed: number;
  /** Prints progress to standard error. */
  readonly say: (text: string) => void;
}

/** A group of figures that are measured in one run. */
export abstract class BenchGroup {
  /** Name on the command line. */
  abstract readonly name: string;

  /**
   * Measures.
   * @param ctx - seed and progress output
   * @returns the figures
   */
  abstract run(ctx: BenchContext): Promise<readonly Figure[]>;
}

/**
 * Says whether a figure keeps its bound.
 * @param figure - the figure
 * @returns true also for a figure without a bound
 */
export function keepsBound({ value, bound, comparison }: Figure): boolean {
  if (bound === undefined) return true;
  return comparison === 'at-least' ? value >= bound : value <= bound;
}
