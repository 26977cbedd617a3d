/** Benchmark of the marginal costs from which docs/CAPACITY.md derives the full size. */
import { BenchGroup } from './figure.js';
import { loadSlopes, peerSlopes } from './slopesload.js';
import { memorySlopes } from './slopesmemory.js';

import type { BenchContext, Figure } from './figure.js';

/** Measures marginal costs; the figures have no bounds. */
export class SlopesBench extends BenchGroup {
  override readonly name = 'slopes';

  override async run({ say }: BenchContext): Promise<readonly Figure[]> {
    const memory = memorySlopes(say);
    const load = await loadSlopes(say);
    const peers = await peerSlopes(say);
    return [...memory, ...load, ...peers];
  }
}
