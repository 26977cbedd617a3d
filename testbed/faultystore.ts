/** In-memory object store with injected faults: refused calls, lost answers, late writes. */
import { setTimeout as sleep } from 'node:timers/promises';

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

/** Longest time that a watch waits for changes, in milliseconds. */
const MAX_WATCH_WAIT_MS = 20;

/**
 * Outcome of a call. "lost-before" and "lost-after" lose the answer without and with the write
 * taking effect, "late" loses the answer and applies the write later, "refused" rejects the call.
 */
export type CallOutcome = 'answered' | 'lost-before' | 'lost-after' | 'late' | 'refused';

interface LateWrite {
  readonly key: string;
  readonly value: unknown;
  /** Revision that the object must have; that of a late write can be given out again before it is executed. */
  readonly revision: number;
}

/** All objects of a store at one time. */
export interface StoreCopy {
  readonly objects: readonly StoredObject[];
  readonly position: number;
}

/** Era of a store that has never come back from a copy. */
const FIRST_ERA = 1;

/** Keeps objects in memory; the test chooses the outcome of each read and write. */
export class FaultyStore extends SnapshotStore {
  readonly #objects = new Map<string, StoredObject>();

  #lateWrites: LateWrite[] = [];

  #position = 0;

  /** Reads and writes so far. */
  calls = 0;

  /** Delay of every read and write, in milliseconds. */
  answerMs = 0;

  /**
   * Creates a store.
   * @param nextOutcome - returns the outcome of the next read or write
   * @param hasEras - whether it states its era; default true
   */
  constructor(
    private readonly nextOutcome: () => CallOutcome,
    hasEras = true,
  ) {
    super();
    if (hasEras) this.era.observe(FIRST_ERA);
  }

  override async read(key: string): Promise<Result<StoredObject, StoreError>> {
    this.calls += 1;
    if (this.answerMs > 0) await sleep(this.answerMs);
    const fate = this.nextOutcome();
    if (fate === 'refused') return this.#err(key, 'refused');
    if (fate !== 'answered') return this.#err(key, 'lost');
    return Ok(this.#versioned(this.#find(key)));
  }

  override async write(
    key: string,
    value: unknown,
    expected: number,
  ): Promise<Result<number, StoreError>> {
    this.calls += 1;
    if (this.answerMs > 0) await sleep(this.answerMs);
    const fate = this.nextOutcome();
    const revision = this.era.revisionOf(expected);
    if (revision === undefined) return this.#err(key, 'conflict');
    const write = { key, value: structuredClone(value), revision };
    if (fate === 'refused') return this.#err(key, 'refused');
    if (fate === 'lost-before') return this.#err(key, 'lost');
    if (fate === 'late') {
      this.#lateWrites.push(write);
      return this.#err(key, 'lost');
    }
    const written = this.#apply(write);
    return fate === 'lost-after' ? this.#err(key, 'lost') : written;
  }

  override async remove(key: string): Promise<Result<number, StoreError>> {
    this.#objects.delete(key);
    this.#position += 1;
    return Ok(this.era.versionOf(this.#position));
  }

  override async list(prefix: string): Promise<Result<readonly ObjectChange[], StoreError>> {
    const found = await this.snapshot(prefix);
    return found.map(({ objects }) => objects);
  }

  override async snapshot(prefix: string): Promise<Result<Snapshot, StoreError>> {
    const objects = [...this.#objects.values()].filter(({ key }) => key.startsWith(prefix));
    return Ok({
      objects: objects.map((object) => this.#versioned(object)),
      position: this.era.versionOf(this.#position),
    });
  }

  override async watch(
    prefix: string,
    position: number,
    waitMs: number,
  ): Promise<Result<WatchBatch, StoreError>> {
    if (this.era.versionOf(this.#position) <= position)
      await sleep(Math.min(waitMs, MAX_WATCH_WAIT_MS), undefined, { ref: false });
    const since = this.era.revisionOf(position);
    if (since === undefined || since > this.#position) return this.#err(prefix, 'compacted');
    const changes = [...this.#objects.values()].filter(
      ({ key, version }) => key.startsWith(prefix) && version > since,
    );
    return Ok({
      changes: changes.map((object) => this.#versioned(object)),
      position: this.era.versionOf(this.#position),
    });
  }

  /**
   * Copies all objects.
   * @returns the copy
   */
  copy(): StoreCopy {
    return { objects: [...this.#objects.values()], position: this.#position };
  }

  /**
   * Comes back from a copy: later writes are gone, their revisions are given out again, and the era rises. Late writes
   * stay under way.
   * @param copy - the copy
   */
  comeBack({ objects, position }: StoreCopy): void {
    this.#objects.clear();
    objects.forEach((object) => this.#objects.set(object.key, object));
    this.#position = position;
    this.era.observe((this.era.current ?? 0) + 1);
  }

  /** Applies the late writes whose expected version still matches and drops the others. */
  applyLateWrites(): void {
    const late = this.#lateWrites;
    this.#lateWrites = [];
    late.forEach((write) => this.#apply(write));
  }

  /**
   * Reads an object without injected faults and without counting a call.
   * @param key - object key
   * @returns the value; null if there is none
   */
  peek(key: string): unknown {
    return this.#find(key).value;
  }

  #find(key: string): StoredObject {
    return this.#objects.get(key) ?? { key, version: 0, value: null };
  }

  #apply({ key, value, revision }: LateWrite): Result<number, StoreError> {
    const current = this.#find(key);
    if (current.version !== revision) {
      const stored = this.#versioned(current);
      return Err({ problem: 'conflict', key, text: 'version does not match', current: stored });
    }
    this.#position += 1;
    this.#objects.set(key, { key, version: this.#position, value });
    return Ok(this.era.versionOf(this.#position));
  }

  #versioned(object: StoredObject): StoredObject {
    const { version } = object;
    return { ...object, version: version === 0 ? 0 : this.era.versionOf(version) };
  }

  #err(key: string, problem: StoreError['problem']): Result<never, StoreError> {
    return Err({ problem, key, text: 'injected by the test' });
  }
}
