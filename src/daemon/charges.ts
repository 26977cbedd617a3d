/** Records charge lines, replicates them to other daemons and delivers them to the store. */
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

/** Interval between checks of the replicas, in milliseconds. */
const REPLICA_CHECK_INTERVAL_MS = 500;

/**
 * Number of replica checks after which the shard maintainers are queried as well: they recover this
 * daemon if it seems to have stopped.
 */
const CHECKS_PER_MAINTAINER_QUERY = 3;

/** Unsettled lines above which no new reservation is accepted; about 15 MB. */
const MAX_UNFLUSHED_LINES = 50_000;

/** Longest wait for open reservations at shutdown, in milliseconds. */
const LEAVE_TIMEOUT_MS = 10_000;

/** Interval between checks for open reservations at shutdown, in milliseconds. */
const LEAVE_POLL_INTERVAL_MS = 20;

/** Dependencies of the charges. */
export interface ChargeContext extends OutboxContext {
  readonly config: Pick<ConfigTask, 'current'>;
  /** Unsettled lines above which no new reservation is accepted. */
  readonly maxLines?: number;
}

/** Units reserved for one request. */
export interface Reservation {
  readonly budget: string;
  readonly units: number;
}

/** Holds the outboxes of this daemon: its unsettled charge lines in every shard. */
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

  /** Whether this incarnation has been fenced and must no longer spend from its budget rows. */
  get isFenced(): boolean {
    return this.#isFenced;
  }

  /** Starts the periodic deliveries and replica checks. */
  start(): void {
    this.#scheduleFlush(FLUSH_INTERVAL_MS);
    this.#scheduleReplicaCheck();
  }

  /**
   * Adds the entry of this holder to the shard of a budget, with its backup and standby.
   * @param budget - budget name
   * @returns whether the shard has the entry
   */
  join(budget: string): Promise<boolean> {
    return this.#outboxOf(budget).join();
  }

  /**
   * Registers a reservation; it may be used only if its charge can be made durable.
   * @param reservation - budget and units
   * @param waitMs - longest wait in milliseconds
   * @returns whether it may be used; it must be released in either case
   */
  async registerReservation({ budget, units }: Reservation, waitMs: number): Promise<boolean> {
    const outbox = this.#outboxOf(budget);
    const admitted = await outbox.registerCommitment({ budget, reserved: units }, waitMs);
    const { maxLines = MAX_UNFLUSHED_LINES } = this.ctx;
    return admitted && !this.#isFenced && this.#unflushedLines < maxLines;
  }

  /**
   * Registers the end of a reservation without a charge.
   * @param reservation - budget and units
   */
  release({ budget, units }: Reservation): void {
    this.#outboxOf(budget).release(budget, units);
  }

  /**
   * Registers a loan to another holder; the units may be lent only once the backup knows of it.
   * @param budget - budget name
   * @param passed - total units lent, including the new loan
   * @param waitMs - longest wait in milliseconds
   * @returns whether the units may be lent
   */
  registerLoan(budget: string, passed: number, waitMs: number): Promise<boolean> {
    return this.#outboxOf(budget).registerCommitment({ budget, passed }, waitMs);
  }

  /**
   * Ends a reservation with a charge and waits until a replica or the store has acknowledged it.
   * @param charge - request, budget and units to charge
   * @param reserved - units that were reserved
   * @returns whether the line is durable
   */
  async record(charge: Charge, reserved: number): Promise<boolean> {
    const outbox = this.#outboxOf(charge.budget);
    // The line and the end of its reservation are sent in the same copy.
    outbox.release(charge.budget, reserved);
    return outbox.record(charge);
  }

  /**
   * Delivers all unsettled lines to the store.
   * @returns whether all of them were delivered
   */
  async flush(): Promise<boolean> {
    const results = await Promise.all(
      [...this.#outboxes.values()].map((outbox) => outbox.deliver()),
    );
    return results.every(Boolean);
  }

  /**
   * Ends the entry of this incarnation in every shard and returns units that are provably unused.
   * No request may be open.
   * @returns whether all lines are settled and all unused units returned
   */
  async leave(): Promise<boolean> {
    this.stop();
    const deadline = performance.now() + LEAVE_TIMEOUT_MS;
    while (this.#openUnits > 0 && performance.now() < deadline) {
      // Reservations end when the answers of their requests do.
      // eslint-disable-next-line no-await-in-loop
      await delay(LEAVE_POLL_INTERVAL_MS);
    }
    // Units of open reservations stay held; another daemon recovers the copies.
    if (this.#openUnits > 0) return false;
    const left = await Promise.all(
      [...this.#outboxes.values()].map((outbox) => outbox.leave(this.#isFenced)),
    );
    return left.every(Boolean);
  }

  /**
   * Checks the replicas once and replaces silent ones. Probes the store for outboxes whose backup
   * is silent and that have no lines to deliver.
   */
  async maintainReplicas(): Promise<void> {
    const outboxes = [...this.#outboxes.values()];
    const { backups, self } = this.ctx;
    this.#replicaChecks += 1;
    const isMaintainerQueryDue = this.#replicaChecks % CHECKS_PER_MAINTAINER_QUERY === 0;
    const replicas = new Set(outboxes.flatMap(({ replicas: ofOutbox }) => ofOutbox));
    const reachable = new Set<string>();
    await Promise.all(
      [...replicas].map(async (replica) => {
        // The query also counts as a sign of life of this holder.
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

  /** Unsettled lines of each shard that has any. */
  get pending(): readonly PendingLines[] {
    return [...this.#outboxes.values()]
      .map(({ pending }) => pending)
      .filter(({ lines }) => lines.length > 0);
  }

  /** Stops the periodic deliveries and replica checks. */
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
