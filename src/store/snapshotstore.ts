/** Object store whose listings and watches carry the values. */
import type { Result } from '../kernel/index.js';
import { ObjectStore } from './objectstore.js';

import type { StoredObject, StoreError } from './objectstore.js';

/** All objects under a prefix at one moment. */
export interface Snapshot {
  readonly objects: readonly StoredObject[];
  /** Position from which a watch continues. */
  readonly position: number;
}

/** Versioned objects that can be listed with their values and then watched. */
export abstract class SnapshotStore extends ObjectStore {
  /**
   * Lists the objects under a prefix, linearizably.
   * @param prefix - start of the keys, with its slash
   * @returns the objects and the position to watch from
   */
  abstract snapshot(prefix: string): Promise<Result<Snapshot, StoreError>>;
}
