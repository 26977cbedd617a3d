/** Instance directory with a cached copy of the platform's list. */
import { InstanceDirectory } from './instancedirectory.js';

import type { Instance, InstanceList } from '../store/index.js';

/** Interval between refreshes, in milliseconds. */
const REFRESH_INTERVAL_MS = 5_000;

/** Shortest time between a refresh and one that an unknown instance triggers, in milliseconds. */
const MIN_REFRESH_INTERVAL_MS = 500;

/** Fetches the instance list at intervals and keeps the last list if a fetch fails. */
export class PolledInstanceDirectory extends InstanceDirectory {
  #instances: readonly Instance[] = [];

  #fetchedAt = 0;

  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates a directory.
   * @param list - source of the list
   */
  constructor(private readonly list: InstanceList) {
    super();
  }

  /** Fetches the list, then starts the periodic refresh. */
  async start(): Promise<void> {
    await this.#refresh();
    this.#timer = setInterval(() => {
      void this.#refresh();
    }, REFRESH_INTERVAL_MS);
  }

  /** Stops the periodic refresh. */
  stop(): void {
    clearInterval(this.#timer);
  }

  override instances(): readonly Instance[] {
    return this.#instances;
  }

  /**
   * Checks whether the platform lists an instance; refreshes the cached list if it does not contain it.
   * @param name - instance name
   * @returns whether it is listed
   */
  override async isMember(name: string): Promise<boolean> {
    if (this.#find(name)) return true;
    if (performance.now() - this.#fetchedAt > MIN_REFRESH_INTERVAL_MS) await this.#refresh();
    return this.#find(name) !== undefined;
  }

  #find(name: string): Instance | undefined {
    return this.#instances.find((instance) => instance.name === name);
  }

  async #refresh(): Promise<void> {
    this.#fetchedAt = performance.now();
    const fetched = await this.list.fetch();
    if (fetched.ok) this.#instances = fetched.val;
  }
}
