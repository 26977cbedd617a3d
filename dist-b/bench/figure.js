/** Figures of the benchmarks and their bounds. */
/** A group of figures that are measured in one run. */
export class BenchGroup {
}
/**
 * Says whether a figure keeps its bound.
 * @param figure - the figure
 * @returns true also for a figure without a bound
 */
export function keepsBound({ value, bound, comparison }) {
    if (bound === undefined)
        return true;
    return comparison === 'at-least' ? value >= bound : value <= bound;
}
//# sourceMappingURL=figure.js.map