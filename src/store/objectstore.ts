/** Abstract interface of the platform's object store. */
import type { Result } from '../kernel/index.js';
import { StoreEra } from './era.js';

/** One version of an object. */
export interface StoredObject {
  readonly key: string;
  /**
   * Increases with every write of the key, and over a rise of the store's era; 0 if the object does not exist. It has a
   * meaning only for the store that returned it.
   */
  readonly version: number;
  readonly value: unknown;
}

/** One changed key in a watch or a listing. */
export interface ObjectChange {
  readonly key: string;
  readonly version: number;
  /** The value, if the store includes it; null for a deleted object. */
  readonly value?: unknown;
}

/** The changes that a watch returns. */
export interface WatchBatch {
  readonly changes: readonly ObjectChange[];
  /** Position for the next watch. */
  readonly position: number;
}

/**
 * Why a call to the store failed.
 * "conflict": the stored version is not the expected one, or the expected one is of a former era; the write did not take
 * effect.
 * "refused": the call did not take effect, for example because of a rate limit or its size.
 * "lost": the call failed without a definite result; it may have taken effect. Also an answer of a former era, and a
 * conditional write that was sent in a former era and took effect in this one.
 * "compacted": the store no longer has the history from the requested position, or that is of a former era; list again.
 * "oversized": the response is too large, or too long to be read in time; list again.
 */
export type StoreProblem = 'conflict' | 'refused' | 'lost' | 'compacted' | 'oversized';

/** A store call that failed. */
export interface StoreError {
  readonly problem: StoreProblem;
  readonly key: string;
  readonly text: string;
  /** The stored object, if a conflict response includes it. */
  readonly current?: StoredObject;
}

/** Versioned objects with conditional updates and watches. */
export abstract class ObjectStore {
  /** The store's era, as stated in its answers; it is up to date before the result of a call is returned. */
  readonly era = new StoreEra();

  /**
   * Reads an object.
   * @param key - object key
   * @returns the object; version 0 and a null value if it does not exist
   */
  abstract read(key: string): Promise<Result<StoredObject, StoreError>>;

  /**
   * Writes an object if its version is still the expected one.
   * @param key - object key
   * @param value - new value, at most 1 MB as JSON
   * @param expected - expected current version; 0 creates the object
   * @returns the new version
   */
  abstract write(
    key: string,
    value: unknown,
    expected: number,
  ): Promise<Result<number, StoreError>>;

  /**
   * Deletes an object if its version is still the expected one.
   * @param key - object key
   * @param expected - expected current version
   * @returns the deleted version
   */
  abstract remove(key: string, expected: number): Promise<Result<number, StoreError>>;

  /**
   * Lists keys.
   * @param prefix - prefix of the keys
   * @returns keys and versions, sorted by key
   */
  abstract list(prefix: string): Promise<Result<readonly ObjectChange[], StoreError>>;

  /**
   * Waits for changes. However long it waits, a watch counts as one call towards the rate limit of the store.
   * @param prefix - prefix of the keys
   * @param position - position that the previous watch or snapshot returned; 0 for the first watch without a
   * snapshot
   * @param waitMs - longest wait for a change, in milliseconds
   * @returns the changes since the position; none if the wait ended without a change
   */
  abstract watch(
    prefix: string,
    position: number,
    waitMs: number,
  ): Promise<Result<WatchBatch, StoreError>>;
}
