/** The platform's object API, as the daemon needs it. */
import type { Result } from '../kernel/index.js';

/** One version of an object. */
export interface StoredObject {
  readonly key: string;
  /** Rises with every write of the key; 0 stands for "does not exist". */
  readonly version: number;
  readonly value: unknown;
}

/** One changed key in a watch or a listing. */
export interface ObjectChange {
  readonly key: string;
  readonly version: number;
  /** The value, where the store sends it along; null for a deleted object. */
  readonly value?: unknown;
}

/** The changes that a watch returns. */
export interface WatchBatch {
  readonly changes: readonly ObjectChange[];
  /** Position to watch from next. */
  readonly position: number;
}

/**
 * Why a call to the store gave no answer.
 * "conflict": another write came first, this one did not take effect.
 * "refused": certainly without effect (rate limit, size).
 * "lost": it may have taken effect.
 * "compacted": the history that a watch asked for is gone; list again.
 * "oversized": the answer is too large to be read in time; list again.
 */
export type StoreProblem = 'conflict' | 'refused' | 'lost' | 'compacted' | 'oversized';

/** A store call that failed. */
export interface StoreError {
  readonly problem: StoreProblem;
  readonly key: string;
  readonly text: string;
  /** The object in force, where a conflict shows it. */
  readonly current?: StoredObject;
}

/** Versioned objects with conditional updates and watches. */
export abstract class ObjectStore {
  /**
   * Reads an object.
   * @param key - object key
   * @returns the object; version 0 and a null value where it does not exist
   */
  abstract read(key: string): Promise<Result<StoredObject, StoreError>>;

  /**
   * Writes an object if its version is still the expected one.
   * @param key - object key
   * @param value - new value, at most 1 MB as JSON
   * @param expected - version that must be in force; 0 creates
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
   * @param expected - version that must be in force
   * @returns the deleted version
   */
  abstract remove(key: string, expected: number): Promise<Result<number, StoreError>>;

  /**
   * Lists keys.
   * @param prefix - start of the keys
   * @returns keys and versions in the order of the keys
   */
  abstract list(prefix: string): Promise<Result<readonly ObjectChange[], StoreError>>;

  /**
   * Waits for changes; counts as one call while it waits.
   * @param prefix - start of the keys
   * @param position - where the last watch ended; 0 for the first
   * @param waitMs - longest wait in milliseconds
   * @returns the changes since the position, none after the wait
   */
  abstract watch(
    prefix: string,
    position: number,
    waitMs: number,
  ): Promise<Result<WatchBatch, StoreError>>;
}
