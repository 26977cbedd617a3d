/** A store as one daemon sees it, from which this daemon can be cut off while others are not. */
import { Err } from '../src/kernel/index.js';
import { FaultyStore } from './faultystore.js';

import type { Result } from '../src/kernel/index.js';
import type { Snapshot, SnapshotStore, StoreError, WatchBatch } from '../src/store/index.js';

/** Passes listings and watches on unless it is cut off. */
export class CutStore extends FaultyStore {
  isCut = false;

  /**
   * Creates the view of one daemon.
   * @param store - the store
   */
  constructor(private readonly store: SnapshotStore) {
    super(() => 'answered', false);
  }

  override async snapshot(prefix: string): Promise<Result<Snapshot, StoreError>> {
    const found = await this.store.snapshot(prefix);
    return this.isCut ? Err({ problem: 'lost', key: prefix, text: 'cut off' }) : found;
  }

  override async watch(
    prefix: string,
    position: number,
    waitMs: number,
  ): Promise<Result<WatchBatch, StoreError>> {
    const found = await this.store.watch(prefix, position, waitMs);
    return this.isCut ? Err({ problem: 'lost', key: prefix, text: 'cut off' }) : found;
  }
}
