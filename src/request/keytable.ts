/** Key records of one daemon, bounded in number and age. */
import { MINUTE_MS } from '../kernel/index.js';
import { keyId } from './keyrecord.js';

import type { KeyAttempt, KeyName, KeyRecord, KeyState } from './keyrecord.js';

/** Time for which a key is recorded after the start of its newest attempt, in milliseconds. */
export const KEY_RETENTION_MS = 10 * MINUTE_MS;

/** Maximum number of keys that one daemon records. */
export const MAX_KEYS = 50_000;

/** Progress of an attempt with a key. */
export interface KeyProgress extends KeyName {
  readonly owner: string;
  readonly state: KeyState;
  readonly upstream: string | null;
}

/** Owns the key records of one daemon. */
export class KeyTable {
  // Ordered by the last change, the oldest first: a changed record is inserted again at the end.
  readonly #records = new Map<string, KeyRecord>();

  #lastEvictionAt = 0;

  /** Time of the last eviction due to MAX_KEYS, in milliseconds since the epoch; 0 if there was none. */
  get lastEvictionAt(): number {
    return this.#lastEvictionAt;
  }

  /** Number of recorded keys. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Looks up a key.
   * @param name - workspace and key
   * @returns its record; null if there is none
   */
  find(name: KeyName): KeyRecord | null {
    return this.#records.get(keyId(name)) ?? null;
  }

  /**
   * Records that an attempt begins, unless the key is recorded with another body.
   * @param attempt - the attempt
   * @returns the record before it; null if there was none
   */
  begin(attempt: KeyAttempt): KeyRecord | null {
    const earlier = this.find(attempt);
    const isOtherBody = earlier && earlier.digest !== attempt.digest;
    if (!isOtherBody)
      this.#put({ ...attempt, state: 'running', upstream: earlier?.upstream ?? null });
    this.#evict(attempt.at);
    return earlier;
  }

  /**
   * Records the progress of an attempt; ignored if the attempt is not the newest with its key.
   * @param progress - state and upstream
   */
  recordProgress(progress: KeyProgress): void {
    const record = this.find(progress);
    if (record?.owner !== progress.owner) return;
    const { state, upstream } = progress;
    this.#put({ ...record, state, upstream: upstream ?? record.upstream });
  }

  /**
   * Removes an attempt that never reached an upstream, and restores the record before it.
   * @param name - workspace and key
   * @param owner - incarnation of the daemon that ran the attempt
   * @param earlier - record before the attempt; null if there was none
   */
  withdraw(name: KeyName, owner: string, earlier: KeyRecord | null): void {
    if (this.find(name)?.owner !== owner) return;
    if (earlier) this.#put(earlier);
    else this.#records.delete(keyId(name));
  }

  /**
   * Adds the records of a stopping daemon that are newer than the recorded ones.
   * @param records - records of the stopping daemon
   */
  merge(records: readonly KeyRecord[]): void {
    records
      .filter((record) => (this.find(record)?.at ?? 0) < record.at)
      .forEach((record) => this.#put(record));
  }

  /**
   * Lists all records.
   * @returns the records, the least recently changed first
   */
  list(): readonly KeyRecord[] {
    return [...this.#records.values()];
  }

  #put(record: KeyRecord): void {
    const id = keyId(record);
    this.#records.delete(id);
    this.#records.set(id, record);
  }

  #evict(now: number): void {
    for (const [id, record] of this.#records) {
      const isExpired = record.at < now - KEY_RETENTION_MS;
      if (!isExpired && this.#records.size <= MAX_KEYS) return;
      if (!isExpired) this.#lastEvictionAt = now;
      this.#records.delete(id);
    }
  }
}
