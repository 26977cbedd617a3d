/** Seeded random numbers, so that a randomised run can be repeated. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seed of runs without the option --seed. */
export const DEFAULT_SEED = 20_261_204;

/** Number of values of the generator, and the offset that makes its signed 32-bit numbers positive. */
const RANGE = 2 ** 32;
const OFFSET = 2 ** 31;

/**
 * Creates a random number generator.
 * @param seed - seed of the run
 * @returns a function that returns numbers in [0, 1)
 */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() + OFFSET) / RANGE;
}
