/** Access of one daemon to an in-memory store that it shares with others: each daemon observes the era by itself. */
import { Err, Ok } from '../src/kernel/index.js';
import { SnapshotStore } from '../src/store/index.js';

import type { Result } from '../src/kernel/index.js';
import type {
  ObjectChange,
  Snapshot,
  StoredObject,
  StoreError,
  WatchBatch,
} from '../src/store/index.js';
import type { FaultyStore } from './faultystore.js';

/** Client of a store. Until an answer shows a rise, it sends revisions of the former era. */
export class EraStore extends SnapshotStore {
  /** Whether no call of the daemon arrives. */
  isCut = false;

  /**
   * Creates the access.
   * @param store - the store
   */
  constructor(private readonly store: FaultyStore) {
    super();
    this.#observe();
  }

  override async read(key: string): Promise<Result<StoredObject, StoreError>> {
    const found = await this.#call(key, () => this.store.read(key));
    return found.map((object) => this.#seen(object));
  }

  override async write(
    key: string,
    value: unknown,
    expected: number,
  ): Promise<Result<number, StoreError>> {
    const revision = this.era.revisionOf(expected);
    if (revision === undefined) return Err({ problem: 'conflict', key, text: 'of a former era' });
    const sentIn = this.era.current;
    const current = revision === 0 ? 0 : this.store.era.versionOf(revision);
    const written = await this.#call(key, () => this.store.write(key, value, current));
    if (written.err) return Err(this.#seenError(written.val));
    const isByChance = expected !== 0 && this.era.current !== sentIn;
    if (isByChance) return Err({ problem: 'lost', key, text: 'executed after a rise' });
    return Ok(this.#versionOf(written.val));
  }

  override remove(): Promise<Result<number, StoreError>> {
    throw new Error('not used by the daemons of a test');
  }

  override list(prefix: string): Promise<Result<readonly ObjectChange[], StoreError>> {
    return this.#call(prefix, () => this.store.list(prefix));
  }

  override snapshot(): Promise<Result<Snapshot, StoreError>> {
    throw new Error('not used by the daemons of a test');
  }

  override watch(): Promise<Result<WatchBatch, StoreError>> {
    throw new Error('not used by the daemons of a test');
  }

  #observe(): void {
    const { current } = this.store.era;
    if (current !== undefined) this.era.observe(current);
  }

  #versionOf(storeVersion: number): number {
    return this.era.versionOf(this.store.era.revisionOf(storeVersion) ?? 0);
  }

  #seen(object: StoredObject): StoredObject {
    return { ...object, version: object.version === 0 ? 0 : this.#versionOf(object.version) };
  }

  #seenError({ current, ...err }: StoreError): StoreError {
    return current ? { ...err, current: this.#seen(current) } : err;
  }

  async #call<Value>(
    key: string,
    call: () => Promise<Result<Value, StoreError>>,
  ): Promise<Result<Value, StoreError>> {
    if (this.isCut) return Err({ problem: 'lost', key, text: 'cut by the test' });
    const answer = await call();
    if (answer.ok || answer.val.problem !== 'lost') this.#observe();
    return answer;
  }
}
