/** Keeps the platform's instance list at hand. */
import { InstanceDirectory } from './instancedirectory.js';

import type { Instance, InstanceList } from '../store/index.js';

/** Interval between fetches, in milliseconds. */
const REFRESH_INTERVAL_MS = 5_000;

/** Least time between fetches that an unknown instance causes, in milliseconds. */
const MIN_REFRESH_INTERVAL_MS = 500;

/** Fetches the instance list at intervals; during an outage the last list stays. */
export class PolledInstanceDirectory extends InstanceDirectory {
  #instances: readonly Instance[] = [];

  #fetchedAt = 0;

  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates a directory.
   * @param list - the platform's list
   */
  constructor(private readonly list: InstanceList) {
    super();
  }

  /** Fetches the list now and then at intervals. */
  async start(): Promise<void> {
    await this.#refresh();
    this.#timer = setInterval(() => {
      void this.#refresh();
    }, REFRESH_INTERVAL_MS);
  }

  /** Ends the refreshes. */
  stop(): void {
    clearInterval(this.#timer);
  }

  override instances(): readonly Instance[] {
    return this.#instances;
  }

  /**
   * Says whether the platform lists an instance, fetching again if it is not at hand.
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
