/** Follows all objects under a prefix: one listing, then waiting watches. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { Clock } from '../kernel/index.js';
import type { ObjectChange, StoreError } from './objectstore.js';
import type { Snapshot, SnapshotStore } from './snapshotstore.js';

/** Longest wait of a watch where none is given, in milliseconds: bounds how long silence lasts. */
const DEFAULT_WATCH_WAIT_MS = 3_000;

/** Wait of a watch that is to answer at once, in milliseconds. */
const PROBE_WAIT_MS = 1;

/** First delay after a failed call, in milliseconds; it doubles up to the longest. */
const FIRST_RETRY_DELAY_MS = 40;

/** Longest delay between attempts in an outage, in milliseconds: bounds how late its end is seen. */
const MAX_RETRY_DELAY_MS = 400;

/** What the owner of a follower is told. */
export interface FollowerEvents {
  /** Everything there is, at the start and after history was lost. */
  readonly onSnapshot: (snapshot: Snapshot) => void;
  readonly onChanges: (changes: readonly ObjectChange[]) => void;
  /** The store stopped answering this follower. */
  readonly onLost: (err: StoreError) => void;
  /** The store answers again. */
  readonly onRegained: () => void;
}

/** Owns the watch of one prefix. */
export class Follower {
  #position: number | undefined;

  #failures = 0;

  #stopped = false;

  /** When the store last answered, in milliseconds; 0 for never. */
  lastAnswerAt = 0;

  /**
   * Creates a follower; nothing is sent before "run".
   * @param store - the store
   * @param prefix - start of the keys
   * @param events - what the owner is told
   * @param clock - time
   * @param waitMs - longest wait of one watch, in milliseconds
   * @param batchDelayMs - pause after a batch of changes, in milliseconds: what changes meanwhile comes with one
   * call
   */
  constructor(
    private readonly store: SnapshotStore,
    private readonly prefix: string,
    private readonly events: FollowerEvents,
    private readonly clock: Clock,
    private readonly waitMs = DEFAULT_WATCH_WAIT_MS,
    private readonly batchDelayMs = 0,
  ) {}

  /** Follows until it is stopped. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      // One call at a time, in order.
      // eslint-disable-next-line no-await-in-loop
      const error = this.#position === undefined ? await this.#list() : await this.#watch();
      if (error && !this.#stopped) {
        // eslint-disable-next-line no-await-in-loop
        await this.#handleFailure(error);
      }
    }
  }

  /** Ends after the call that is under way. */
  stop(): void {
    this.#stopped = true;
  }

  async #list(): Promise<StoreError | undefined> {
    const found = await this.store.snapshot(this.prefix);
    if (found.err) return found.val;
    this.#recordAnswer();
    this.#position = found.val.position;
    this.events.onSnapshot(found.val);
    return undefined;
  }

  async #watch(): Promise<StoreError | undefined> {
    // After a failure an answer at once tells that the store is back, and what was missed.
    const waitMs = this.#failures > 0 ? PROBE_WAIT_MS : this.waitMs;
    const batch = await this.store.watch(this.prefix, this.#position ?? 0, waitMs);
    if (batch.err) {
      const { problem } = batch.val;
      if (problem === 'compacted' || problem === 'oversized') this.#position = undefined;
      // A listing is bounded by what there is, a watch by nothing: history grows while it is read.
      return problem === 'oversized' ? undefined : batch.val;
    }
    this.#recordAnswer();
    this.#position = Math.max(this.#position ?? 0, batch.val.position);
    if (batch.val.changes.length === 0) return undefined;
    this.events.onChanges(batch.val.changes);
    if (this.batchDelayMs > 0) await sleep(this.batchDelayMs);
    return undefined;
  }

  #recordAnswer(): void {
    this.lastAnswerAt = this.clock.now();
    if (this.#failures > 0) this.events.onRegained();
    this.#failures = 0;
  }

  async #handleFailure(err: StoreError): Promise<void> {
    this.#failures += 1;
    // A watch that was cut off or outlived its history is simply asked again.
    if (this.#failures === 1) {
      this.events.onLost(err);
      return;
    }
    const maxDelayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      FIRST_RETRY_DELAY_MS * 2 ** (this.#failures - 2),
    );
    await sleep(maxDelayMs * (0.5 + Math.random() / 2));
  }
}
