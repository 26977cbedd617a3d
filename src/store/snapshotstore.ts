/** Object store whose listings and watches include the values. */
import type { Result } from '../kernel/index.js';
import { ObjectStore } from './objectstore.js';

import type { StoredObject, StoreError } from './objectstore.js';

/** A consistent view of all objects under a prefix. */
export interface Snapshot {
  readonly objects: readonly StoredObject[];
  /** Position at which a watch continues after this snapshot. */
  readonly position: number;
}

/** Versioned objects that can be listed with their values and then watched. */
export abstract class SnapshotStore extends ObjectStore {
  /**
   * Lists the objects under a prefix with a linearizable read.
   * @param prefix - prefix of the keys, including the trailing slash
   * @returns the objects and the position to watch from
   */
  abstract snapshot(prefix: string): Promise<Result<Snapshot, StoreError>>;
}
