/** The keys that one daemon remembers, bounded in number and age. */
import { MINUTE_MS } from '../kernel/index.js';
import { keyId } from './keyrecord.js';

import type { KeyAttempt, KeyName, KeyRecord, KeyState } from './keyrecord.js';

/** How long a key is remembered after its newest attempt, in milliseconds. */
export const KEY_RETENTION_MS = 10 * MINUTE_MS;

/** Keys that one daemon remembers at most. */
export const MAX_KEYS = 50_000;

/** How the newest attempt with a key went on. */
export interface KeyProgress extends KeyName {
  readonly owner: string;
  readonly state: KeyState;
  readonly upstream: string | null;
}

/** Owns the key records of one daemon. */
export class KeyTable {
  // Insertion order is the order of age: a record that changes is put at the end.
  readonly #records = new Map<string, KeyRecord>();

  #lastEvictionAt = 0;

  /** When a record was last dropped for want of room, in milliseconds since the epoch; 0 for never. */
  get lastEvictionAt(): number {
    return this.#lastEvictionAt;
  }

  /** Number of keys that are remembered. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Looks a key up.
   * @param name - workspace and key
   * @returns what is remembered; null if nothing is
   */
  find(name: KeyName): KeyRecord | null {
    return this.#records.get(keyId(name)) ?? null;
  }

  /**
   * Notes that an attempt begins.
   * @param attempt - the attempt
   * @returns what was remembered before it
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
   * Notes how an attempt went on; an attempt that is not the newest changes nothing.
   * @param progress - state and upstream
   */
  recordProgress(progress: KeyProgress): void {
    const record = this.find(progress);
    if (record?.owner !== progress.owner) return;
    const { state, upstream } = progress;
    this.#put({ ...record, state, upstream: upstream ?? record.upstream });
  }

  /**
   * Forgets an attempt that never reached an upstream.
   * @param name - workspace and key
   * @param owner - incarnation that ran the attempt
   * @param earlier - what was remembered before the attempt
   */
  withdraw(name: KeyName, owner: string, earlier: KeyRecord | null): void {
    if (this.find(name)?.owner !== owner) return;
    if (earlier) this.#put(earlier);
    else this.#records.delete(keyId(name));
  }

  /**
   * Takes over records of a daemon that stops.
   * @param records - its records
   */
  merge(records: readonly KeyRecord[]): void {
    records
      .filter((record) => (this.find(record)?.at ?? 0) < record.at)
      .forEach((record) => this.#put(record));
  }

  /**
   * Lists every record.
   * @returns the records, the oldest first
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
