/** In-memory object store, for tests that run without a store process. */
import { setTimeout as delay } from 'node:timers/promises';

import { Err, Ok } from '../src/kernel/index.js';
import { ObjectStore } from '../src/store/index.js';

import type { Result } from '../src/kernel/index.js';
import type { ObjectChange, StoredObject, StoreError, WatchBatch } from '../src/store/index.js';

/**
 * Behaviour of the store. "away" fails all calls except watches; "loses-answers" applies writes but
 * reports them as lost.
 */
export type MemoryStoreMode = 'answers' | 'away' | 'loses-answers';

/** Keeps objects in memory. */
export class MemoryStore extends ObjectStore {
  readonly #objects = new Map<string, StoredObject>();

  mode: MemoryStoreMode = 'answers';

  /** Delay of the next write, in milliseconds; reset to 0 by that write. */
  nextWriteDelayMs = 0;

  override async read(key: string): Promise<Result<StoredObject, StoreError>> {
    if (this.mode === 'away') return this.#lostError(key);
    return Ok(this.#objects.get(key) ?? { key, version: 0, value: null });
  }

  override async write(
    key: string,
    value: unknown,
    expected: number,
  ): Promise<Result<number, StoreError>> {
    if (this.mode === 'away') return this.#lostError(key);
    const delayMs = this.nextWriteDelayMs;
    this.nextWriteDelayMs = 0;
    if (delayMs > 0) await delay(delayMs);
    const version = this.#objects.get(key)?.version ?? 0;
    if (version !== expected)
      return Err({ problem: 'conflict', key, text: 'version does not match' });
    this.#objects.set(key, { key, version: version + 1, value: structuredClone(value) });
    return this.mode === 'loses-answers' ? this.#lostError(key) : Ok(version + 1);
  }

  override async remove(key: string): Promise<Result<number, StoreError>> {
    if (this.mode === 'away') return this.#lostError(key);
    const version = this.#objects.get(key)?.version ?? 0;
    this.#objects.delete(key);
    return Ok(version);
  }

  override async list(prefix: string): Promise<Result<readonly ObjectChange[], StoreError>> {
    if (this.mode === 'away') return this.#lostError(prefix);
    const found = [...this.#objects.values()].filter(({ key }) => key.startsWith(prefix));
    return Ok(found.sort((a, b) => (a.key < b.key ? -1 : 1)));
  }

  override async watch(): Promise<Result<WatchBatch, StoreError>> {
    return Ok({ changes: [], position: 0 });
  }

  /**
   * Copies all objects.
   * @returns the copy
   */
  copy(): readonly StoredObject[] {
    return [...this.#objects.values()];
  }

  /**
   * Comes back from a copy: what was written since is gone, and its versions are given out again.
   * @param copy - the copy
   */
  comeBack(copy: readonly StoredObject[]): void {
    this.#objects.clear();
    copy.forEach((object) => this.#objects.set(object.key, object));
  }

  /**
   * Reads an object without injected faults.
   * @param key - object key
   * @returns the value; undefined if there is none
   */
  peek(key: string): unknown {
    return this.#objects.get(key)?.value;
  }

  #lostError(key: string): Result<never, StoreError> {
    return Err({ problem: 'lost', key, text: 'no answer' });
  }
}
