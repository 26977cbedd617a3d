/** Seeds of random schedules: fixed by default and printed, so that a run can be repeated. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
/** Seed of a run without "--seed". */
export const DEFAULT_SEED = 20_261_204;
/** The generator gives signed 32-bit numbers. */
const RANGE = 2 ** 32;
const OFFSET = 2 ** 31;
/**
 * Makes a source of random numbers.
 * @param seed - seed of the run
 * @returns a function that gives numbers in [0, 1)
 */
export function seededRandom(seed) {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() + OFFSET) / RANGE;
}
//# sourceMappingURL=seed.js.map