/** Follows all objects under a key prefix: one listing, then a series of long-polling watches. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { Clock } from '../kernel/index.js';
import type { ObjectChange, StoreError } from './objectstore.js';
import type { Snapshot, SnapshotStore } from './snapshotstore.js';

/** Default wait of a watch, in milliseconds: an idle watch returns after it and so confirms the connection. */
export const DEFAULT_WATCH_WAIT_MS = 3_000;

/** Wait of a watch that must return immediately, in milliseconds. */
export const IMMEDIATE_WAIT_MS = 1;

/** Delay after the second failure in a row, in milliseconds; it doubles with each further failure. */
const FIRST_RETRY_DELAY_MS = 40;

/** Longest delay between attempts in an outage, in milliseconds: bounds how late a recovery is noticed. */
const MAX_RETRY_DELAY_MS = 400;

/** Callbacks of a follower. */
export interface FollowerEvents {
  /** All objects under the prefix: at the start, and when changes can no longer be read from the last position. */
  readonly onSnapshot: (snapshot: Snapshot) => void;
  /** Changes since the last snapshot or the last changes, and the revision of the store after them. */
  readonly onChanges: (changes: readonly ObjectChange[], position: number) => void;
  /** A call failed; reported only for the first of consecutive failures. */
  readonly onLost: (err: StoreError) => void;
  /** The store answered after one or more failures. */
  readonly onRegained: () => void;
  /** Another callback has thrown; the follower goes on behind the objects or changes that it was called with. */
  readonly onHandlerError: (err: unknown) => void;
}

/** Follows the objects under one prefix, with one call to the store at a time. */
export class Follower {
  #position: number | undefined;

  #failures = 0;

  #stopped = false;

  /** Time of the last successful call, in milliseconds of the follower's clock; 0 before the first. */
  lastAnswerAt = 0;

  /**
   * Creates a follower; it calls the store only after "run".
   * @param store - the store
   * @param prefix - prefix of the keys
   * @param events - callbacks
   * @param clock - clock for "lastAnswerAt"
   * @param waitMs - longest wait of one watch, in milliseconds
   * @param batchDelayMs - pause after each batch of changes, in milliseconds: changes made during the pause
   * arrive together with the next watch
   */
  constructor(
    private readonly store: SnapshotStore,
    private readonly prefix: string,
    private readonly events: FollowerEvents,
    private readonly clock: Clock,
    private readonly waitMs = DEFAULT_WATCH_WAIT_MS,
    private readonly batchDelayMs = 0,
  ) {}

  /** Lists and watches until "stop" is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      // Calls must be sequential: each watch starts at the position of the previous answer.
      // eslint-disable-next-line no-await-in-loop
      const error = this.#position === undefined ? await this.#list() : await this.#watch();
      if (error && !this.#stopped) {
        // eslint-disable-next-line no-await-in-loop
        await this.#handleFailure(error);
      }
    }
  }

  /** Ends "run" after the current call. */
  stop(): void {
    this.#stopped = true;
  }

  async #list(): Promise<StoreError | undefined> {
    const found = await this.store.snapshot(this.prefix);
    if (found.err) return found.val;
    this.#recordAnswer();
    this.#position = found.val.position;
    this.#notify(() => this.events.onSnapshot(found.val));
    return undefined;
  }

  async #watch(): Promise<StoreError | undefined> {
    // After a failure the watch returns immediately, to detect the recovery and to fetch missed changes.
    const waitMs = this.#failures > 0 ? IMMEDIATE_WAIT_MS : this.waitMs;
    const batch = await this.store.watch(this.prefix, this.#position ?? 0, waitMs);
    if (batch.err) {
      const { problem } = batch.val;
      if (problem === 'compacted' || problem === 'oversized') this.#position = undefined;
      // The size of a listing is bounded by the number of objects. That of a watch is not: the history
      // grows while it is read. An oversized watch is followed by a listing and is not an outage.
      return problem === 'oversized' ? undefined : batch.val;
    }
    this.#recordAnswer();
    this.#position = Math.max(this.#position ?? 0, batch.val.position);
    if (batch.val.changes.length === 0) return undefined;
    this.#notify(() => this.events.onChanges(batch.val.changes, batch.val.position));
    if (this.batchDelayMs > 0) await sleep(this.batchDelayMs);
    return undefined;
  }

  #recordAnswer(): void {
    this.lastAnswerAt = this.clock.now();
    if (this.#failures > 0) this.#notify(() => this.events.onRegained());
    this.#failures = 0;
  }

  #notify(callback: () => void): void {
    try {
      callback();
    } catch (err) {
      this.events.onHandlerError(err);
    }
  }

  async #handleFailure(err: StoreError): Promise<void> {
    this.#failures += 1;
    // The first failure is retried without delay: often only the connection or the history of the watch was lost.
    if (this.#failures === 1) {
      this.#notify(() => this.events.onLost(err));
      return;
    }
    const maxDelayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      FIRST_RETRY_DELAY_MS * 2 ** (this.#failures - 2),
    );
    await sleep(maxDelayMs * (0.5 + Math.random() / 2));
  }
}
