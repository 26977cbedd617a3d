/** In-memory object store whose watches also report removals, and which can drop its history or be down. */
import { Err, Ok } from '../src/kernel/index.js';
import { FaultyStore } from './faultystore.js';

import type { Result } from '../src/kernel/index.js';
import type { ObjectChange, Snapshot, StoreError, WatchBatch } from '../src/store/index.js';

/** Keeps objects that only the test changes. */
export class WatchedStore extends FaultyStore {
  readonly #versions = new Map<string, number>();

  #history: ObjectChange[] = [];

  #revision = 10;

  /** Whether listings and watches fail. */
  isDown = false;

  /** Creates an empty store. */
  constructor() {
    super(() => 'answered', false);
  }

  /**
   * Creates an object.
   * @param key - its key
   */
  put(key: string): void {
    this.#revision += 1;
    this.#versions.set(key, this.#revision);
    this.#history.push({ key, version: this.#revision, value: {} });
  }

  /**
   * Removes an object.
   * @param key - its key
   */
  drop(key: string): void {
    this.#revision += 1;
    this.#versions.delete(key);
    this.#history.push({ key, version: this.#revision, value: null });
  }

  /** Drops the history, as a compaction does. */
  compact(): void {
    this.#history = [];
  }

  override async snapshot(prefix: string): Promise<Result<Snapshot, StoreError>> {
    if (this.isDown) return Err({ problem: 'lost', key: prefix, text: 'down' });
    const objects = [...this.#versions].map(([key, version]) => ({ key, version, value: {} }));
    return Ok({ objects, position: this.#revision });
  }

  override async watch(
    prefix: string,
    position: number,
    waitMs: number,
  ): Promise<Result<WatchBatch, StoreError>> {
    await super.watch(prefix, Number.MAX_SAFE_INTEGER, waitMs);
    if (this.isDown) return Err({ problem: 'lost', key: prefix, text: 'down' });
    const changes = this.#history.filter(({ version }) => version > position);
    if (changes.length < this.#revision - position)
      return Err({ problem: 'compacted', key: prefix, text: 'history dropped' });
    return Ok({ changes, position: this.#revision });
  }
}
