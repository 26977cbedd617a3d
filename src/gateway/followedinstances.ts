/** Directory of the daemons that are registered in the store. */
import * as z from 'zod';

import { isAddress } from '../kernel/index.js';
import { InstanceDirectory } from '../link/index.js';

import type { Instance, ObjectChange } from '../store/index.js';

/** Key prefix of the daemons' entries in the store. */
export const DAEMONS_PREFIX = 'daemons/';

const daemonSchema = z
  .object({
    dataCentre: z.string(),
    peerAddress: z.string().refine(isAddress),
    /** Processor capacity of the instance, in cores. */
    cores: z.number().positive().default(1),
  })
  .readonly();

/** A registered daemon. */
export interface RegisteredDaemon extends Instance {
  /** Processor capacity of its instance, in cores; 1 if its entry does not state it. */
  readonly cores: number;
}

/** Daemons with a valid entry in the store. */
export class FollowedInstances extends InstanceDirectory {
  readonly #instances = new Map<string, RegisteredDaemon>();

  /** Number of daemons with a valid entry. */
  get size(): number {
    return this.#instances.size;
  }

  override instances(): readonly RegisteredDaemon[] {
    return [...this.#instances.values()];
  }

  /**
   * Accepts every peer: it has proved that it knows the fleet key, and its entry may not have been read from
   * the store yet.
   */
  override async isMember(): Promise<boolean> {
    return true;
  }

  /**
   * Applies a change of an entry.
   * @param change - the new entry, or its removal
   * @returns false if the entry cannot be used
   */
  change({ key, value }: ObjectChange): boolean {
    const name = key.slice(DAEMONS_PREFIX.length);
    const parsed = daemonSchema.safeParse(value);
    if (parsed.success) this.#instances.set(name, { name, ...parsed.data, state: 'live' });
    else this.#instances.delete(name);
    return parsed.success || value === null || value === undefined;
  }
}
