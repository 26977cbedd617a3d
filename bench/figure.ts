/** Base of the benchmarks: figures, their bounds and groups. */

/** Whether a bound is an upper or a lower limit. */
export type Comparison = 'at-most' | 'at-least';

/** A measured figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Target that the figure must meet; absent if it has none. */
  readonly bound?: number;
  readonly comparison?: Comparison;
}

/** Context of a benchmark run. */
export interface BenchContext {
  readonly seed: number;
  /** Prints progress to standard error. */
  readonly say: (text: string) => void;
}

/** A group of figures that are measured together. */
export abstract class BenchGroup {
  /** Name on the command line. */
  abstract readonly name: string;

  /**
   * Measures the figures of the group.
   * @param ctx - seed and progress output
   * @returns the figures
   */
  abstract run(ctx: BenchContext): Promise<readonly Figure[]>;
}

/**
 * Checks a figure against its bound.
 * @param figure - the figure
 * @returns whether it meets its bound; true if it has none
 */
export function keepsBound({ value, bound, comparison }: Figure): boolean {
  if (bound === undefined) return true;
  return comparison === 'at-least' ? value >= bound : value <= bound;
}
