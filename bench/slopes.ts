/** Measures the slopes that docs/CAPACITY.md works the full size out from. */
import { BenchGroup } from './figure.js';
import { loadSlopes, peerSlopes } from './slopesload.js';
import { memorySlopes } from './slopesmemory.js';

import type { BenchContext, Figure } from './figure.js';

/** The slopes group; its figures have no bound of their own. */
export class SlopesBench extends BenchGroup {
  override readonly name = 'slopes';

  override async run({ say }: BenchContext): Promise<readonly Figure[]> {
    const memory = memorySlopes(say);
    const load = await loadSlopes(say);
    const peers = await peerSlopes(say);
    return [...memory, ...load, ...peers];
  }
}
