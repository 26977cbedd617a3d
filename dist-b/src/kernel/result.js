/** Re-exports ts-results, a CommonJS package, under named ES module exports. */
import results from 'ts-results';
export const { Err, Ok } = results;
//# sourceMappingURL=result.js.map