/** Records charge lines, has them copied, and delivers them to the store. */
import { setTimeout as delay } from 'node:timers/promises';

import { shardOf } from '../budget/index.js';
import { Outbox } from './outbox.js';

import type { Charge } from '../fleet/index.js';
import type { PendingLines } from '../plan/index.js';
import type { ConfigTask } from './configtask.js';
import type { OutboxContext } from './outbox.js';

/** Interval between deliveries while the store answers, in milliseconds. */
const FLUSH_INTERVAL_MS = 500;

/** Longest interval between deliveries while the store fails, in milliseconds. */
const MAX_FLUSH_INTERVAL_MS = 8_000;

/** Interval at which backups are checked, in milliseconds. */
const REPLICA_CHECK_INTERVAL_MS = 500;

/** Checks of the backups between two checks whether this daemon is seen by those who would recover it. */
const CHECKS_PER_MAINTAINER_QUERY = 3;

/** Lines that a daemon keeps while the store does not take them; about 15 MB. */
const MAX_UNFLUSHED_LINES = 50_000;

/** Longest wait for the last reservations of a daemon that ends, in milliseconds. */
const LEAVE_TIMEOUT_MS = 10_000;

/** Interval at which an ending daemon looks for open reservations, in milliseconds. */
const LEAVE_POLL_INTERVAL_MS = 20;

/** What charges need. */
export interface ChargeContext extends OutboxContext {
  readonly config: Pick<ConfigTask, 'current'>;
  /** Lines that are kept while the store does not take them. */
  readonly maxLines?: number;
}

/** Units of one request that are set aside. */
export interface Reservation {
  readonly budget: string;
  readonly units: number;
}

/** Owns the unflushed charge lines of one daemon. */
export class Charges {
  readonly #outboxes = new Map<number, Outbox>();

  #flushTimer: NodeJS.Timeout | undefined;

  #replicaCheckTimer: NodeJS.Timeout | undefined;

  #replicaChecks = 0;

  #isFenced = false;

  #isStopped = false;

  /**
   * Creates the task.
   * @param ctx - store, backups and identity
   */
  constructor(private readonly ctx: ChargeContext) {}

  /** Whether this incarnation may not use its rows any more. */
  get isFenced(): boolean {
    return this.#isFenced;
  }

  /** Begins to deliver at intervals and to look after the backups. */
  start(): void {
    this.#scheduleFlush(FLUSH_INTERVAL_MS);
    this.#scheduleReplicaCheck();
  }

  /**
   * Joins the shard of a budget, with a backup on record.
   * @param budget - budget name
   * @returns whether the entry is in force
   */
  join(budget: string): Promise<boolean> {
    return this.#outboxOf(budget).join();
  }

  /**
   * Takes note of a reservation; it may be used only if its charge can be kept.
   * @param reservation - budget and units
   * @param waitMs - longest wait in milliseconds
   * @returns whether it may be used; it must be released either way
   */
  async registerReservation({ budget, units }: Reservation, waitMs: number): Promise<boolean> {
    const outbox = this.#outboxOf(budget);
    const admitted = await outbox.registerCommitment({ budget, reserved: units }, waitMs);
    const { maxLines = MAX_UNFLUSHED_LINES } = this.ctx;
    return admitted && !this.#isFenced && this.#unflushedLines < maxLines;
  }

  /**
   * Takes note that a reservation has ended without a charge.
   * @param reservation - budget and units
   */
  release({ budget, units }: Reservation): void {
    this.#outboxOf(budget).release(budget, units);
  }

  /**
   * Takes note of a loan to another holder; it may be given only if the backup knows of it.
   * @param budget - budget name
   * @param passed - units lent in all, the new loan included
   * @param waitMs - longest wait in milliseconds
   * @returns whether the loan may be given
   */
  registerLoan(budget: string, passed: number, waitMs: number): Promise<boolean> {
    return this.#outboxOf(budget).registerCommitment({ budget, passed }, waitMs);
  }

  /**
   * Ends a reservation with a charge and waits until a second daemon or the store holds it.
   * @param charge - what is to be charged
   * @param reserved - units that were reserved
   * @returns whether the line is durable
   */
  async record(charge: Charge, reserved: number): Promise<boolean> {
    const outbox = this.#outboxOf(charge.budget);
    // The line and the end of its reservation travel in the same copy.
    outbox.release(charge.budget, reserved);
    return outbox.record(charge);
  }

  /**
   * Delivers every line that the store does not hold.
   * @returns whether all of them were delivered
   */
  async flush(): Promise<boolean> {
    const results = await Promise.all(
      [...this.#outboxes.values()].map((outbox) => outbox.deliver()),
    );
    return results.every(Boolean);
  }

  /**
   * Ends this incarnation in every shard and gives back what it proves unused.
   * No request may be open.
   * @returns whether nothing is left to settle or to free
   */
  async leave(): Promise<boolean> {
    this.stop();
    const deadline = performance.now() + LEAVE_TIMEOUT_MS;
    while (this.#openUnits > 0 && performance.now() < deadline) {
      // The last reservations end with their answers.
      // eslint-disable-next-line no-await-in-loop
      await delay(LEAVE_POLL_INTERVAL_MS);
    }
    // What is open now stays held, and the copies are recovered by another daemon.
    if (this.#openUnits > 0) return false;
    const left = await Promise.all(
      [...this.#outboxes.values()].map((outbox) => outbox.leave(this.#isFenced)),
    );
    return left.every(Boolean);
  }

  /** Looks after the backups once: replaces one that is silent, finds out whether the store answers. */
  async maintainReplicas(): Promise<void> {
    const outboxes = [...this.#outboxes.values()];
    const { backups, self } = this.ctx;
    this.#replicaChecks += 1;
    const isMaintainerQueryDue = this.#replicaChecks % CHECKS_PER_MAINTAINER_QUERY === 0;
    const replicas = new Set(outboxes.flatMap(({ replicas: ofOutbox }) => ofOutbox));
    const reachable = new Set<string>();
    await Promise.all(
      [...replicas].map(async (replica) => {
        // A query also tells the other daemon that this holder lives.
        if (await backups.isReachable(replica, self)) reachable.add(replica);
      }),
    );
    await Promise.all(
      outboxes.map(async (outbox) => {
        const isBackupUnreachable = outbox.backup === null || !reachable.has(outbox.backup);
        if (isBackupUnreachable && outbox.unflushedLines === 0) await outbox.probeStore();
        await outbox.maintainReplicas((replica) => reachable.has(replica));
        const isKnownLive =
          !isMaintainerQueryDue || (await backups.reachesMaintainers(outbox.shard, self));
        if (!isKnownLive) await outbox.beat();
      }),
    );
  }

  /** Lines that the store does not hold, for each shard that has some. */
  get pending(): readonly PendingLines[] {
    return [...this.#outboxes.values()]
      .map(({ pending }) => pending)
      .filter(({ lines }) => lines.length > 0);
  }

  /** Ends the deliveries at intervals. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#flushTimer);
    clearTimeout(this.#replicaCheckTimer);
  }

  get #openUnits(): number {
    return [...this.#outboxes.values()].reduce((sum, { open: openUnits }) => sum + openUnits, 0);
  }

  get #unflushedLines(): number {
    return [...this.#outboxes.values()].reduce(
      (sum, { unflushedLines }) => sum + unflushedLines,
      0,
    );
  }

  #outboxOf(budget: string): Outbox {
    const shards = this.ctx.config.current?.manifest.budgetShards ?? 1;
    const shard = shardOf(budget, shards);
    const found = this.#outboxes.get(shard);
    if (found) return found;
    const onFenced = (detail: string): void => this.#fence(detail);
    const outbox = new Outbox(shard, { ...this.ctx, onFenced });
    this.#outboxes.set(shard, outbox);
    return outbox;
  }

  #fence(detail: string): void {
    if (this.#isFenced) return;
    this.#isFenced = true;
    this.ctx.recorder.record('holderFenced', { detail });
    this.ctx.onFenced(detail);
  }

  #scheduleFlush(afterMs: number): void {
    if (this.#isStopped) return;
    const jittered = afterMs * (0.5 + Math.random() / 2);
    this.#flushTimer = setTimeout(() => {
      void this.#flushAndReschedule(afterMs);
    }, jittered);
  }

  async #flushAndReschedule(afterMs: number): Promise<void> {
    const flushed = this.#isFenced || (await this.flush());
    this.#scheduleFlush(flushed ? FLUSH_INTERVAL_MS : Math.min(MAX_FLUSH_INTERVAL_MS, afterMs * 2));
  }

  #scheduleReplicaCheck(): void {
    if (this.#isStopped) return;
    this.#replicaCheckTimer = setTimeout(() => {
      void this.maintainReplicas().finally(() => this.#scheduleReplicaCheck());
    }, REPLICA_CHECK_INTERVAL_MS);
  }
}
