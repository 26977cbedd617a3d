/** Copies and delivers the charge lines of one daemon in one shard. */
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
import type { Change, ObjectStore, StoreError } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Backups } from './backups.js';

/** Longest wait until a line is held by a second daemon or the store, in milliseconds. */
const DURABILITY_TIMEOUT_MS = 5_000;

/** Pause between attempts to make a line durable, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Share of the window after which commitments are copied ahead of the next line. */
const EARLY_COPY_WINDOW_SHARE = 0.25;

/** What an outbox needs. */
export interface OutboxContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly backups: Backups;
  readonly recorder: Recorder;
  /** Called when this incarnation may not use its rows any more. */
  readonly onFenced: (detail: string) => void;
}

/** Owns the lines and commitments of one shard. */
export class Outbox {
  #state: HolderState;

  #joining: Promise<boolean> | undefined;

  /** The entry is in force; before that a missing entry does not mean that it was closed. */
  #isJoined = false;

  #copying: Promise<boolean> | undefined;

  #queuedCopy: Promise<boolean> | undefined;

  #delivering: Promise<boolean> | undefined;

  /** Backup on record, in another data centre where there is one. */
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

  /** Lines that the store does not hold. */
  get unflushedLines(): number {
    return this.#state.lines.length;
  }

  /** Lines that the store does not hold, and how far it does. */
  get pending(): PendingLines {
    const { settled, lines } = this.#state;
    return { shard: this.shard, settled, lines };
  }

  /** Units of reservations that have not ended. */
  get open(): number {
    return this.#state.exposures.reduce(
      (sum, { reservedTotal, releasedTotal }) => sum + reservedTotal - releasedTotal,
      0,
    );
  }

  /** Daemon that takes the copies now; null for none. */
  get backup(): Incarnation | null {
    return this.#state.backup;
  }

  /** Daemons on record that may have copies. */
  get replicas(): readonly Incarnation[] {
    return [this.#state.backup, this.#state.standby].filter((replica) => replica !== null);
  }

  /** Whether a line that was recorded now would soon be held by a second daemon or the store. */
  get isDurable(): boolean {
    if (this.#state.isFenced) return false;
    return this.#storeFailures === 0 || (this.backup !== null && this.#backupFailures === 0);
  }

  /**
   * Joins the shard with a backup on record, once.
   * @returns whether the entry is in force
   */
  async join(): Promise<boolean> {
    this.#joining ??= this.#join();
    const joined = await this.#joining;
    this.#isJoined = joined;
    if (!joined) this.#joining = undefined;
    return joined;
  }

  /**
   * Takes note of a commitment and waits while it is too far ahead of the backup.
   * @param change - reservation or loan that begins
   * @param waitMs - longest wait in milliseconds
   * @returns whether it may be used; a reservation must be released either way
   */
  async registerCommitment(change: Commitment, waitMs: number): Promise<boolean> {
    const deadline = performance.now() + waitMs;
    const { budget } = change;
    this.#state = recordCommitment(this.#state, change);
    // Lent units can reach a daemon that has no entry: nobody could recover its lines.
    if (!(await this.join())) return false;
    for (;;) {
      if (this.#state.isFenced) return false;
      if (this.isDurable && mayProceed(this.#state, budget)) {
        // Copying early keeps admission from waiting.
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
   * Takes note that a reservation has ended.
   * @param budget - budget name
   * @param units - units that were reserved
   */
  release(budget: string, units: number): void {
    this.#state = recordCommitment(this.#state, { budget, released: units });
  }

  /**
   * Records a line and waits until a second daemon or the store holds it.
   * @param charge - what is to be charged
   * @returns whether the line is durable
   */
  async record(charge: Charge): Promise<boolean> {
    const sequence = this.#state.next;
    this.#state = addLine(this.#state, charge, Date.now());
    const deadline = performance.now() + DURABILITY_TIMEOUT_MS;
    while (!isLineDurable(this.#state, sequence)) {
      if (this.#state.isFenced || performance.now() > deadline) return false;
      // Each way is tried after the one before it has failed.
      // eslint-disable-next-line no-await-in-loop
      const sent = (await this.#scheduleCopy()) || (await this.deliver());
      // eslint-disable-next-line no-await-in-loop
      if (!sent) await delay(RETRY_DELAY_MS);
    }
    this.ctx.recorder.record('chargeCopied', { request: charge.key, budget: charge.budget });
    return true;
  }

  /**
   * Delivers every line that the store does not hold.
   * @returns whether all lines that were recorded before were delivered
   */
  async deliver(): Promise<boolean> {
    // A line that was recorded while a delivery runs needs one more.
    if (this.#delivering) await this.#delivering;
    if (this.unflushedLines === 0) return true;
    this.#delivering ??= this.#deliverPending().finally(() => {
      this.#delivering = undefined;
    });
    return this.#delivering;
  }

  /**
   * Goes over to the standby while the backup does not answer, and puts others on record in the
   * place of those that are gone.
   * @param isReachable - whether an incarnation answered just now
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
    // While the store is away the record cannot change, and the standby has to do.
    await this.probeStore();
    if (this.#storeFailures === 0) await this.#changeBackup(chosen.backup, chosen.standby);
  }

  async #changeBackup(candidate: Incarnation, standby: Incarnation | null): Promise<void> {
    const { backups, self, recorder } = this.ctx;
    const wasChanging = this.#state.isChanging;
    this.#state = beginBackupChange(this.#state, [candidate, standby]);
    // Everything that the store does not hold goes to the new backup, known or not.
    const batch = buildCopyBatch({ ...this.#state, backup: null }, candidate);
    const answer = await backups.sendCopies(batch);
    if (answer?.verdict !== 'kept') {
      if (!wasChanging) this.#state = cancelBackupChange(this.#state);
      return;
    }
    const request = { holder: self, backup: candidate, standby, joined: true };
    const updated = await this.#update((shard) => recordBackup(shard, request));
    if (updated.err) {
      // After a lost answer the new backup may be on record.
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

  /** Finds out whether the store answers, while no line is there to be delivered. */
  async probeStore(): Promise<void> {
    const found = await this.ctx.store.read(shardKey(this.shard));
    this.#storeFailures = found.ok ? 0 : this.#storeFailures + 1;
  }

  /** Writes a sign of life, for recoverers that no link reaches. */
  async beat(): Promise<void> {
    if (!this.#isJoined || this.#state.isFenced) return;
    const updated = await this.#update((shard) => recordHeartbeat(shard, this.ctx.self));
    if (updated.ok) this.#applyStoredEntry(updated.val);
  }

  /**
   * Ends this incarnation in the shard: settles its lines and gives back what it proves unused.
   * No reservation may be open.
   * @param claimRecoveryFirst - makes this incarnation its own recoverer first, after a fence
   * @returns whether nothing of it is left to settle or to free
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
    // A closed entry leaves nothing to settle or to free.
    return conceded.val.isAllowed || conceded.val.entry === undefined;
  }

  /** Becomes its own recoverer; false once another has finished, undefined without the store. */
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

  /** Copies at the end of this turn of the event loop, so that its lines travel together. */
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
    // The standby is on record as well: what it keeps will be found.
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
      detail: `shard ${shard} through ${delivered.val.settled}`,
    });
    return true;
  }

  #update<Outcome>(
    change: (shard: BudgetShard) => Change<BudgetShard, Outcome>,
  ): Promise<Result<Outcome, StoreError>> {
    const kind = { key: shardKey(this.shard), parse: parseShard };
    return updateObject(this.ctx.store, kind, change);
  }

  #applyStoredEntry(answer: EntryAnswer): boolean {
    this.#state = applyEntry(this.#state, answer);
    if (answer.fenced) this.#reportFenced('the shard entry is not active any more');
    return !answer.fenced;
  }

  #reportFenced(detail: string): void {
    this.ctx.onFenced(`${detail} (shard ${this.shard})`);
  }
}
