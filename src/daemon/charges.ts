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
 * Number of replica checks for each query of the shard maintainers, which recover this daemon if
 * they take it for stopped.
 */
const CHECKS_PER_MAINTAINER_QUERY = 3;

/** Number of unsettled lines at and above which new reservations are refused; about 15 MB. */
const MAX_UNFLUSHED_LINES = 50_000;

/** Longest wait for open reservations to end at shutdown, in milliseconds. */
const LEAVE_TIMEOUT_MS = 10_000;

/** Interval between checks for open reservations at shutdown, in milliseconds. */
const LEAVE_POLL_INTERVAL_MS = 20;

/** Dependencies of the charges. */
export interface ChargeContext extends OutboxContext {
  readonly config: Pick<ConfigTask, 'current'>;
  /** Number of unsettled lines at and above which new reservations are refused. */
  readonly maxLines?: number;
}

/** Units reserved for one request. */
export interface Reservation {
  readonly budget: string;
  readonly units: number;
}

/**
 * Holds the outboxes of this daemon, one for each shard, with the charge lines that are not
 * settled.
 */
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
   * Adds the entry of this holder, with the holder's backup and standby, to the shard of a budget.
   * @param budget - budget name
   * @returns whether the shard has the entry
   */
  join(budget: string): Promise<boolean> {
    return this.#outboxOf(budget).join();
  }

  /**
   * Registers a reservation. Its units may be used only if the charge can be made durable.
   * @param reservation - budget and units
   * @param waitMs - longest wait in milliseconds
   * @returns whether the units may be used; the reservation must be ended in either case
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
   * Registers a loan to another holder and waits while the commitments that the backup has not
   * acknowledged, including this loan, exceed the window.
   * @param budget - budget name
   * @param passed - total units lent, including the new loan
   * @param waitMs - longest wait in milliseconds
   * @returns whether the units may be lent
   */
  registerLoan(budget: string, passed: number, waitMs: number): Promise<boolean> {
    return this.#outboxOf(budget).registerCommitment({ budget, passed }, waitMs);
  }

  /**
   * Ends a reservation with a charge and waits until a replica or the store has acknowledged the
   * charge line.
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
   * Must be called once no request is open; waits for reservations that have not ended yet.
   * @returns whether all lines are settled and all unused units returned
   */
  async leave(): Promise<boolean> {
    this.stop();
    const deadline = performance.now() + LEAVE_TIMEOUT_MS;
    while (this.#openUnits > 0 && performance.now() < deadline) {
      // A reservation ends when the answer to its request does.
      // eslint-disable-next-line no-await-in-loop
      await delay(LEAVE_POLL_INTERVAL_MS);
    }
    // The units of open reservations stay held; another daemon recovers this one from the copied
    // lines.
    if (this.#openUnits > 0) return false;
    const left = await Promise.all(
      [...this.#outboxes.values()].map((outbox) => outbox.leave(this.#isFenced)),
    );
    return left.every(Boolean);
  }

  /**
   * Checks the replicas once and replaces those that do not answer. Probes the store for outboxes
   * whose backup does not answer and that have no lines to deliver, since no delivery shows then
   * whether the store answers. Writes a heartbeat to a shard if some of its maintainers cannot be
   * reached.
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
        // The replica also counts the query as a heartbeat of this holder.
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
