/** Values in the store that all daemons of a fleet share; the first daemon writes them. */
import { isDeepStrictEqual } from 'node:util';
import { setTimeout as sleep } from 'node:timers/promises';

import { AfterEachRise } from '../store/index.js';

import type { SnapshotStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';

/** Longest random delay before a failed attempt is retried, in milliseconds. */
const MAX_RETRY_DELAY_MS = 500;

/** A kind of shared value. */
export interface SharedKind<Value> {
  /** Key of the object that holds the value. */
  readonly key: string;
  /** Whether a stored value can be used. */
  readonly isValid: (value: unknown) => value is Value;
  /** Returns the value to write if no valid one is stored. */
  readonly propose: () => Value;
  /**
   * Whether a value goes before another one that a daemon has written since the store came back from an older copy. All
   * daemons must come to the same result. By default the value goes first that its daemon had before the store came back.
   */
  readonly goesBefore?: (value: Value, other: Value) => boolean;
}

/**
 * Reads a shared value. Writes the proposed one if none is stored or the stored one is invalid.
 * @param store - the store
 * @param key - key of the object that holds the value
 * @param isValid - whether a stored value can be used
 * @param propose - returns the value to write if no valid one is stored
 * @returns the value that all daemons share, as soon as the store has returned or accepted one
 */
export async function readOrCreate<Value>(
  store: SnapshotStore,
  key: string,
  isValid: (value: unknown) => value is Value,
  propose: () => Value,
): Promise<Value> {
  for (;;) {
    // Attempts are made one after the other.
    // eslint-disable-next-line no-await-in-loop
    const found = await store.read(key);
    if (found.ok && isValid(found.val.value)) return found.val.value;
    if (found.ok) {
      const proposed = propose();
      // eslint-disable-next-line no-await-in-loop
      const written = await store.write(key, proposed, found.val.version);
      if (written.ok) return proposed;
    }
    // eslint-disable-next-line no-await-in-loop
    await sleep(MAX_RETRY_DELAY_MS * Math.random());
  }
}

/**
 * A shared value as this daemon uses it. After a rise of the store's era it is compared with the stored one, which may be
 * missing, or written by a daemon that has found none: one of both then applies everywhere.
 */
export class SharedValue<Value> {
  readonly #comparing: AfterEachRise;

  /** Number of rises after which this daemon has learned the value. */
  #learnedAfter: number;

  private constructor(
    private readonly store: SnapshotStore,
    private readonly kind: SharedKind<Value>,
    private readonly recorder: Recorder,
    private value: Value,
    private readonly wasProposed: boolean,
  ) {
    this.#learnedAfter = store.era.rises;
    this.#comparing = new AfterEachRise(store.era, () => this.#compare());
  }

  /**
   * Reads or creates a shared value.
   * @param store - the store
   * @param kind - key, check and proposal
   * @param recorder - log and timeline
   * @returns the value, as soon as the store has returned or accepted one
   */
  static async join<Value>(
    store: SnapshotStore,
    kind: SharedKind<Value>,
    recorder: Recorder,
  ): Promise<SharedValue<Value>> {
    const { key, isValid, propose } = kind;
    let wasProposed = false;
    const value = await readOrCreate(store, key, isValid, () => {
      wasProposed = true;
      return propose();
    });
    return new SharedValue(store, kind, recorder, value, wasProposed);
  }

  /** The value that this daemon uses. */
  get current(): Value {
    return this.value;
  }

  /** Whether this daemon may have proposed the value: the store held none, or its answer was lost. */
  get isCreated(): boolean {
    return this.wasProposed;
  }

  /** Compares the value with the stored one now, and adopts or replaces that. */
  compare(): Promise<void> {
    return this.#comparing.run();
  }

  /** Stops comparing. */
  stop(): void {
    this.#comparing.stop();
  }

  async #compare(): Promise<boolean> {
    const { key, isValid } = this.kind;
    const found = await this.store.read(key);
    if (found.err) return false;
    const { value: stored, version } = found.val;
    if (isValid(stored) && isDeepStrictEqual(stored, this.value)) return true;
    if (isValid(stored) && !this.#goesBefore(stored)) {
      this.value = stored;
      this.#learnedAfter = this.store.era.rises;
      this.recorder.record('sharedValueAdopted', { facts: { key } });
      return true;
    }
    const written = await this.store.write(key, this.value, version);
    if (written.err) return false;
    const before = version === 0 ? 'missing' : 'another one';
    this.recorder.record('storeWrittenAgain', { facts: { key, before } });
    return true;
  }

  #goesBefore(stored: Value): boolean {
    const wasKnownBefore = this.store.era.rises > this.#learnedAfter;
    return this.kind.goesBefore?.(this.value, stored) ?? wasKnownBefore;
  }
}
