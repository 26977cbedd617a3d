/** Daemons as they register themselves in the store. */
import { z } from 'zod';

import { Directory } from '../link/index.js';

import type { Instance, ObjectChange } from '../store/index.js';

/** Start of the keys under which daemons register themselves. */
export const DAEMONS_PREFIX = 'daemons/';

const daemonSchema = z.object({ dataCentre: z.string(), peerAddress: z.string() }).readonly();

/** Daemons as they stand in the store. */
export class FollowedInstances extends Directory {
  readonly #instances = new Map<string, Instance>();

  override instances(): readonly Instance[] {
    return [...this.#instances.values()];
  }

  /** The key of the fleet is proof enough: a peer may have registered after the last batch of changes. */
  override async knows(): Promise<boolean> {
    return true;
  }

  /**
   * Takes note of an entry.
   * @param change - the entry, or that it is gone
   */
  change({ key, value }: ObjectChange): void {
    const name = key.slice(DAEMONS_PREFIX.length);
    const parsed = daemonSchema.safeParse(value);
    if (parsed.success) this.#instances.set(name, { name, ...parsed.data, state: 'live' });
    else this.#instances.delete(name);
  }
}
