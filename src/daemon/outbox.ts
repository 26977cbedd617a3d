/**
 * Copies the charge lines of this daemon in one shard to a backup and delivers them to the store.
 */
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';

import {
  claimRecovery,
  releaseOnShutdown,
  parseShard,
  recordBackup,
  recordHeartbeat,
  shardKey,
} from '../budget/index.js';
import {
  addLine,
  completeBackupChange,
  applyEntry,
  applyVerdict,
  beginBackupChange,
  cancelBackupChange,
  recordCommitment,
  buildCopyBatch,
  exposureOf,
  isLineDurable,
  mayProceed,
  newHolderState,
  switchToStandby,
  mayCopyLines,
  unacknowledgedUnits,
  WINDOW_UNITS,
} from '../fleet/index.js';
import { updateObject } from '../store/index.js';
import { deliverLines } from './delivery.js';
import { chooseReplicas } from './replicas.js';

import type { BudgetShard, EntryAnswer } from '../budget/index.js';
import type { Charge, Commitment, HolderState } from '../fleet/index.js';
import type { PendingLines } from '../plan/index.js';
import type { Incarnation, Result } from '../kernel/index.js';
import type { UpdateDecision, ObjectStore, StoreError } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Backups } from './backups.js';

/** Longest wait until a replica or the store has acknowledged a line, in milliseconds. */
const DURABILITY_TIMEOUT_MS = 5_000;

/** Pause between attempts to make a line durable, in milliseconds. */
const RETRY_DELAY_MS = 100;

/**
 * Fraction of WINDOW_UNITS; if more units than this are committed without acknowledgement, a copy
 * is sent to the backup at once instead of with the next charge line.
 */
const EARLY_COPY_WINDOW_SHARE = 0.25;

/** Dependencies of an outbox. */
export interface OutboxContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly backups: Backups;
  readonly recorder: Recorder;
  /** Called when this incarnation has been fenced and must no longer spend from its budget rows. */
  readonly onFenced: (detail: string) => void;
}

/**
 * Holds the commitments of this daemon in one shard, and its charge lines until the store has
 * settled them.
 */
export class Outbox {
  #state: HolderState;

  #joining: Promise<boolean> | undefined;

  /**
   * Whether the shard has the entry of this holder. Before that, a missing entry does not mean that
   * the holder was fenced.
   */
  #isJoined = false;

  #copying: Promise<boolean> | undefined;

  #queuedCopy: Promise<boolean> | undefined;

  #delivering: Promise<boolean> | undefined;

  /**
   * Daemon recorded as the backup, if possible in another data centre; stays the same while copies
   * go to the standby instead.
   */
  #preferredBackup: Incarnation | null = null;

  #backupFailures = 0;

  #storeFailures = 0;

  /**
   * Creates the outbox of a shard.
   * @param shard - shard number
   * @param ctx - store, backups and identity
   */
  constructor(
    readonly shard: number,
    private readonly ctx: OutboxContext,
  ) {
    this.#state = newHolderState(ctx.self, shard);
  }

  /** Number of lines that the store has not settled. */
  get unflushedLines(): number {
    return this.#state.lines.length;
  }

  /** Lines that the store has not settled, and the highest sequence known to be settled. */
  get pending(): PendingLines {
    const { settled, lines } = this.#state;
    return { shard: this.shard, settled, lines };
  }

  /** Units of open reservations. */
  get open(): number {
    return this.#state.exposures.reduce(
      (sum, { reservedTotal, releasedTotal }) => sum + reservedTotal - releasedTotal,
      0,
    );
  }

  /** Daemon that receives the copies at present; null for none. */
  get backup(): Incarnation | null {
    return this.#state.backup;
  }

  /** Recorded backup and standby: the daemons that may have copies. */
  get replicas(): readonly Incarnation[] {
    return [this.#state.backup, this.#state.standby].filter((replica) => replica !== null);
  }

  /**
   * Whether a new line is expected to become durable: this incarnation is not fenced, and its last
   * call to the store or its last copy to the backup did not fail.
   */
  get isDurable(): boolean {
    if (this.#state.isFenced) return false;
    return this.#storeFailures === 0 || (this.backup !== null && this.#backupFailures === 0);
  }

  /**
   * Adds the entry of this holder, with the holder's backup and standby, to the shard. Concurrent
   * calls share one attempt; a failed attempt may be repeated.
   * @returns whether the shard has the entry
   */
  async join(): Promise<boolean> {
    this.#joining ??= this.#join();
    const joined = await this.#joining;
    this.#isJoined = joined;
    if (!joined) this.#joining = undefined;
    return joined;
  }

  /**
   * Registers a commitment and waits while new lines are not expected to become durable or the
   * unacknowledged commitments exceed the window.
   * @param change - new reservation or loan
   * @param waitMs - longest wait in milliseconds
   * @returns whether the units may be used; a reservation must be released in either case
   */
  async registerCommitment(change: Commitment, waitMs: number): Promise<boolean> {
    const deadline = performance.now() + waitMs;
    const { budget } = change;
    this.#state = recordCommitment(this.#state, change);
    // A daemon can hold borrowed units before it has an entry. Without an entry its lines could not
    // be recovered.
    if (!(await this.join())) return false;
    for (;;) {
      if (this.#state.isFenced) return false;
      if (this.isDurable && mayProceed(this.#state, budget)) {
        // An early copy keeps later requests from waiting for the window.
        const ahead = unacknowledgedUnits(this.#state, budget);
        if (ahead > WINDOW_UNITS * EARLY_COPY_WINDOW_SHARE) void this.#scheduleCopy();
        return true;
      }
      if (performance.now() > deadline) return false;
      // eslint-disable-next-line no-await-in-loop
      if (!(await this.#scheduleCopy())) await delay(RETRY_DELAY_MS);
    }
  }

  /**
   * Registers the end of a reservation.
   * @param budget - budget name
   * @param units - units that were reserved
   */
  release(budget: string, units: number): void {
    this.#state = recordCommitment(this.#state, { budget, released: units });
  }

  /**
   * Appends a charge line and waits until a replica or the store has acknowledged it.
   * @param charge - request, budget and units to charge
   * @returns whether the line is durable
   */
  async record(charge: Charge): Promise<boolean> {
    const sequence = this.#state.next;
    this.#state = addLine(this.#state, charge, Date.now());
    const deadline = performance.now() + DURABILITY_TIMEOUT_MS;
    while (!isLineDurable(this.#state, sequence)) {
      if (this.#state.isFenced || performance.now() > deadline) return false;
      // The store is used only if the copy to the backup fails.
      // eslint-disable-next-line no-await-in-loop
      const sent = (await this.#scheduleCopy()) || (await this.deliver());
      // eslint-disable-next-line no-await-in-loop
      if (!sent) await delay(RETRY_DELAY_MS);
    }
    this.ctx.recorder.record('chargeCopied', { request: charge.key, budget: charge.budget });
    return true;
  }

  /**
   * Delivers all lines that the store has not settled.
   * @returns whether all lines recorded before this call were delivered
   */
  async deliver(): Promise<boolean> {
    // A running delivery does not include lines recorded after it began.
    if (this.#delivering) await this.#delivering;
    if (this.unflushedLines === 0) return true;
    this.#delivering ??= this.#deliverPending().finally(() => {
      this.#delivering = undefined;
    });
    return this.#delivering;
  }

  /**
   * Switches to the standby if the backup is unreachable, or if the standby is the preferred backup
   * and is reachable again. Then replaces unreachable replicas in the shard entry.
   * @param isReachable - whether an incarnation answered the current check
   */
  async maintainReplicas(isReachable: (replica: Incarnation) => boolean): Promise<void> {
    if (!this.#isJoined || this.#state.isFenced) return;
    const { backup, standby } = this.#state;
    const isBackupReachable = backup !== null && isReachable(backup);
    const isPreferredStandbyReachable =
      standby !== null && standby === this.#preferredBackup && isReachable(standby);
    if (isPreferredStandbyReachable || (!isBackupReachable && standby !== null)) {
      this.#state = switchToStandby(this.#state);
    }
    const isBackupHealthy =
      isBackupReachable && this.backup === backup && this.#backupFailures === 0;
    if (!isBackupHealthy) await this.#scheduleCopy();
    const { replicas } = this;
    const recorded = { replicas, preferred: this.#preferredBackup };
    const chosen = await chooseReplicas(this.ctx.backups, recorded, isReachable);
    if (chosen.backup === null || (chosen.isUnchanged && !this.#state.isChanging)) return;
    // During an outage of the store the entry cannot change, and copies go only to the recorded
    // replicas.
    await this.probeStore();
    if (this.#storeFailures === 0) await this.#changeBackup(chosen.backup, chosen.standby);
  }

  async #changeBackup(candidate: Incarnation, standby: Incarnation | null): Promise<void> {
    const { backups, self, recorder } = this.ctx;
    const wasChanging = this.#state.isChanging;
    this.#state = beginBackupChange(this.#state, [candidate, standby]);
    // Without a backup in the state, the batch has all unsettled lines, also those that the
    // candidate may already have.
    const batch = buildCopyBatch({ ...this.#state, backup: null }, candidate);
    const answer = await backups.sendCopies(batch);
    if (answer?.verdict !== 'kept') {
      if (!wasChanging) this.#state = cancelBackupChange(this.#state);
      return;
    }
    const request = { holder: self, backup: candidate, standby, joined: true };
    const updated = await this.#update((shard) => recordBackup(shard, request));
    if (updated.err) {
      // If the answer was lost, the update may have taken effect, so the change stays open.
      if (!wasChanging && updated.val.problem !== 'lost')
        this.#state = cancelBackupChange(this.#state);
      return;
    }
    if (!this.#applyStoredEntry(updated.val)) return;
    const { through } = answer;
    this.#state = completeBackupChange(this.#state, batch, { through, standby });
    this.#preferredBackup = candidate;
    this.#backupFailures = 0;
    recorder.record('backupChanged', { peer: candidate, detail: `shard ${this.shard}` });
  }

  /** Reads the shard to check that the store answers; needed while no lines are being delivered. */
  async probeStore(): Promise<void> {
    const found = await this.ctx.store.read(shardKey(this.shard));
    this.#storeFailures = found.ok ? 0 : this.#storeFailures + 1;
  }

  /**
   * Writes a heartbeat to the shard entry, for recoverers that this daemon cannot reach over a
   * link.
   */
  async beat(): Promise<void> {
    if (!this.#isJoined || this.#state.isFenced) return;
    const updated = await this.#update((shard) => recordHeartbeat(shard, this.ctx.self));
    if (updated.ok) this.#applyStoredEntry(updated.val);
  }

  /**
   * Ends the entry of this incarnation: settles its lines and returns units that are provably
   * unused. No reservation may be open.
   * @param claimRecoveryFirst - whether this incarnation must first claim its own recovery, because
   *   it was fenced
   * @returns whether the lines are settled and the unused units returned
   */
  async leave(claimRecoveryFirst: boolean): Promise<boolean> {
    if (!this.#isJoined) return true;
    const { self, backups } = this.ctx;
    const mayDeliver = claimRecoveryFirst ? await this.#claimOwnRecovery() : true;
    if (mayDeliver === undefined) return false;
    if (mayDeliver && this.unflushedLines > 0 && !(await this.#deliverPending())) return false;
    const lent = (budget: string): number => exposureOf(this.#state.exposures, budget).passed;
    const conceded = await this.#update((shard) => releaseOnShutdown(shard, self, lent));
    if (conceded.err) return false;
    await Promise.all(
      this.replicas.map((replica) => backups.fenceAt(replica, self, this.shard, true)),
    );
    // A missing entry has been closed, so it had no unsettled lines and no units to return.
    return conceded.val.isAllowed || conceded.val.entry === undefined;
  }

  /**
   * Claims the recovery of this incarnation for itself. Returns false if the entry has already
   * ended or been closed; undefined if the store did not answer.
   */
  async #claimOwnRecovery(): Promise<boolean | undefined> {
    const { self } = this.ctx;
    const claimed = await this.#update((shard) => claimRecovery(shard, self, self));
    return claimed.ok ? claimed.val.isAllowed : undefined;
  }

  async #join(): Promise<boolean> {
    const { backups, self } = this.ctx;
    const backup = await backups.chooseBackup();
    const standby = backup === null ? null : await backups.chooseStandby([backup]);
    const request = { holder: self, backup, standby, joined: false };
    const updated = await this.#update((shard) => recordBackup(shard, request));
    if (updated.err || !this.#applyStoredEntry(updated.val)) return false;
    this.#state = { ...this.#state, backup: updated.val.backup, standby: updated.val.standby };
    this.#preferredBackup = updated.val.backup;
    return true;
  }

  /**
   * Schedules a copy after the running copy and the current event loop turn, so that the lines of
   * one turn share a message.
   */
  #scheduleCopy(): Promise<boolean> {
    this.#queuedCopy ??= this.#copyAfterCurrent();
    return this.#queuedCopy;
  }

  async #copyAfterCurrent(): Promise<boolean> {
    await this.#copying;
    await nextTurn();
    this.#queuedCopy = undefined;
    this.#copying = this.#copy();
    return this.#copying;
  }

  async #copy(): Promise<boolean> {
    if (this.backup === null || !mayCopyLines(this.#state)) return false;
    const batch = buildCopyBatch(this.#state, this.backup);
    const answer = await this.ctx.backups.sendCopies(batch);
    if (answer) this.#state = applyVerdict(this.#state, batch, answer);
    if (this.#state.isFenced) this.#reportFenced('the backup has fenced this incarnation');
    const isOnRecord = batch.backup === this.backup && mayCopyLines(this.#state);
    const isKept = answer?.verdict === 'kept' && isOnRecord;
    this.#backupFailures = isKept ? 0 : this.#backupFailures + 1;
    // The standby is recorded in the entry as well, so a recoverer finds the lines copied to it.
    if (!isKept && isOnRecord) this.#state = switchToStandby(this.#state);
    return isKept;
  }

  async #deliverPending(): Promise<boolean> {
    const { store, self, recorder } = this.ctx;
    const { shard, settled, lines } = this.#state;
    const delivered = await deliverLines(store, { shard, holder: self, by: self, settled, lines });
    if (delivered.err) {
      this.#storeFailures += 1;
      recorder.record('chargesDelayed', { detail: delivered.val.text });
      return false;
    }
    this.#storeFailures = 0;
    if (!this.#applyStoredEntry(delivered.val)) return false;
    recorder.record('chargesDelivered', {
      detail: `shard ${shard}, lines up to ${delivered.val.settled}`,
    });
    return true;
  }

  #update<Outcome>(
    change: (shard: BudgetShard) => UpdateDecision<BudgetShard, Outcome>,
  ): Promise<Result<Outcome, StoreError>> {
    const kind = { key: shardKey(this.shard), parse: parseShard };
    return updateObject(this.ctx.store, kind, change);
  }

  #applyStoredEntry(answer: EntryAnswer): boolean {
    this.#state = applyEntry(this.#state, answer);
    if (answer.fenced) this.#reportFenced('the shard entry is no longer active');
    return !answer.fenced;
  }

  #reportFenced(detail: string): void {
    this.ctx.onFenced(`${detail} (shard ${this.shard})`);
  }
}
