/** Re-exports ts-results, a CommonJS package, under named ES module exports. */
import results from 'ts-results';

import type { Result } from 'ts-results';

export const { Err, Ok } = results;
export type { Result };
