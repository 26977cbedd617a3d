/** Charge lines of one daemon in one shard that the store does not hold yet. */
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';

import {
  claimRecovery,
  concede,
  parseShard,
  recordBackup,
  recordBeat,
  shardKey,
} from '../budget/index.js';
import { committed, isWithinWindow, noExposure, WINDOW_UNITS } from '../fleet/index.js';
import { updateObject } from '../platform/index.js';
import { deliverLines } from './delivery.js';

import type { ChargeLine, EntryAnswer, Exposure } from '../budget/index.js';
import type { CopyBatch } from '../fleet/index.js';
import type { Incarnation, Result } from '../kernel/index.js';
import type { ObjectStore, StoreError } from '../platform/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Backups } from './backups.js';

/** Longest wait until a line is held by a second daemon or the store, in milliseconds. */
const DURABLE_MS = 5_000;

/** Pause between attempts to make a line durable, in milliseconds. */
const RETRY_MS = 100;

/** What an outbox needs. */
export interface OutboxContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly backups: Backups;
  readonly recorder: Recorder;
  /** Called when this incarnation may not use its rows any more. */
  readonly onFenced: (detail: string) => void;
}

/** What is to be charged. */
export type Charge = Pick<ChargeLine, 'key' | 'workspace' | 'budget' | 'units'>;

/** Owns the lines and exposures of one shard. */
export class Outbox {
  /** Backup on record in the shard; null for none. */
  #backup: Incarnation | null = null;

  #joined: Promise<boolean> | undefined;

  #next = 1;

  #settled = 0;

  /** Highest sequence that the backup on record has acknowledged. */
  #acknowledged = 0;

  #lines: readonly ChargeLine[] = [];

  readonly #exposures = new Map<string, Exposure>();

  readonly #copied = new Map<string, Exposure>();

  #copying: Promise<boolean> | undefined;

  #queued: Promise<boolean> | undefined;

  #delivering: Promise<boolean> | undefined;

  #isFenced = false;

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
  ) {}

  /** Lines that the store does not hold. */
  get unflushed(): number {
    return this.#lines.length;
  }

  /** Units of reservations that have not ended. */
  get open(): number {
    return [...this.#exposures.values()].reduce(
      (sum, { reservedTotal, releasedTotal }) => sum + reservedTotal - releasedTotal,
      0,
    );
  }

  /** Consecutive failures of the store. */
  get storeFailures(): number {
    return this.#storeFailures;
  }

  /** Backup on record; null for none. */
  get backup(): Incarnation | null {
    return this.#backup;
  }

  /** Whether a line that was recorded now would soon be held by a second daemon or the store. */
  get isDurable(): boolean {
    if (this.#isFenced) return false;
    return this.#storeFailures === 0 || (this.#backup !== null && this.#backupFailures === 0);
  }

  /**
   * Joins the shard with a backup on record, once.
   * @returns whether the entry is in force
   */
  async join(): Promise<boolean> {
    this.#joined ??= this.#join();
    const joined = await this.#joined;
    if (!joined) this.#joined = undefined;
    return joined;
  }

  /**
   * Takes note of a reservation and waits while it is too far ahead of the backup.
   * @param budget - budget name
   * @param units - reserved units
   * @param waitMs - longest wait in milliseconds
   * @returns whether the reservation may be used; it must be released either way
   */
  async admit(budget: string, units: number, waitMs: number): Promise<boolean> {
    const deadline = performance.now() + waitMs;
    const before = this.#exposure(budget);
    this.#exposures.set(budget, { ...before, reservedTotal: before.reservedTotal + units });
    for (;;) {
      if (!this.isDurable) return false;
      if (this.#mayProceed(budget)) return true;
      if (performance.now() > deadline) return false;
      // eslint-disable-next-line no-await-in-loop
      if (!(await this.#copySoon())) await delay(RETRY_MS);
    }
  }

  /**
   * Takes note that a reservation has ended.
   * @param budget - budget name
   * @param units - units that were reserved
   */
  release(budget: string, units: number): void {
    const before = this.#exposure(budget);
    this.#exposures.set(budget, { ...before, releasedTotal: before.releasedTotal + units });
  }

  /**
   * Takes note of the units lent to other holders, and waits while they are too far ahead
   * of the backup. Must be called before the loan is used.
   * @param budget - budget name
   * @param passed - units lent in all
   * @param waitMs - longest wait in milliseconds
   * @returns whether the loan may be given
   */
  async lend(budget: string, passed: number, waitMs: number): Promise<boolean> {
    const before = this.#exposure(budget);
    this.#exposures.set(budget, { ...before, passed: Math.max(before.passed, passed) });
    return this.admit(budget, 0, waitMs);
  }

  /**
   * Records a line and waits until a second daemon or the store holds it.
   * @param charge - what is to be charged
   * @returns whether the line is durable
   */
  async record(charge: Charge): Promise<boolean> {
    const sequence = this.#next;
    this.#next += 1;
    const line = { ...charge, holder: this.ctx.self, sequence, at: Date.now() };
    this.#lines = [...this.#lines, line];
    const deadline = performance.now() + DURABLE_MS;
    while (!this.#isHeld(sequence)) {
      if (this.#isFenced || performance.now() > deadline) return false;
      // Each way is tried after the one before it has failed.
      // eslint-disable-next-line no-await-in-loop
      const sent = (await this.#copySoon()) || (await this.deliver());
      // eslint-disable-next-line no-await-in-loop
      if (!sent) await delay(RETRY_MS);
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
    if (this.#lines.length === 0) return true;
    this.#delivering ??= this.#send(this.ctx.self).finally(() => {
      this.#delivering = undefined;
    });
    return this.#delivering;
  }

  /**
   * Replaces a backup that does not answer, or finds the first one.
   * @param isSilent - whether the backup on record gave no sign of life just now
   */
  async maintain(isSilent: boolean): Promise<void> {
    if (!this.#joined || this.#isFenced) return;
    const { backups, self } = this.ctx;
    if (!isSilent && this.#backupFailures === 0) return;
    if (this.#backup !== null && (await this.#copySoon())) return;
    if (this.#isFenced) return;
    const failed = this.#backup === null ? [] : [this.#backup];
    const candidate = await backups.choose(failed);
    if (candidate === null) return;
    const exposures = [...this.#exposures.values()];
    const answer = await backups.send(this.#batch(candidate, this.#settled, exposures));
    if (answer?.verdict !== 'kept') return;
    const ask = { holder: self, backup: candidate, joined: true };
    const done = await this.#update((shard) => recordBackup(shard, ask));
    if (done.err || !this.#check(done.val)) return;
    this.#backup = done.val.backup;
    this.#backupFailures = 0;
    this.#acknowledged = answer.through;
    exposures.forEach((exposure) => this.#copied.set(exposure.budget, exposure));
    this.ctx.recorder.record('backupChanged', { peer: candidate, detail: `shard ${this.shard}` });
  }

  /** Finds out whether the store answers, while no line is there to be delivered. */
  async probe(): Promise<void> {
    const found = await this.ctx.store.read(shardKey(this.shard));
    this.#storeFailures = found.ok ? 0 : this.#storeFailures + 1;
  }

  /** Writes a sign of life, for recoverers that no link reaches. */
  async beat(): Promise<void> {
    if (!this.#joined || this.#isFenced) return;
    const done = await this.#update((shard) => recordBeat(shard, this.ctx.self));
    if (done.ok) this.#check(done.val);
  }

  /**
   * Ends this incarnation in the shard: settles its lines and gives back what it proves unused.
   * No reservation may be open.
   * @param take - makes this incarnation its own recoverer first, after a fence
   * @returns whether nothing of it is left to settle or to free
   */
  async leave(take: boolean): Promise<boolean> {
    if (!this.#joined) return true;
    const { self } = this.ctx;
    const mayDeliver = take ? await this.#takeBack() : true;
    if (mayDeliver === undefined) return false;
    if (mayDeliver && this.#lines.length > 0 && !(await this.#send(self))) return false;
    const lent = (budget: string): number => this.#exposure(budget).passed;
    const done = await this.#update((shard) => concede(shard, self, lent));
    if (done.err) return false;
    if (this.#backup) await this.ctx.backups.fenceAt(this.#backup, self, this.shard, true);
    return done.val.mine;
  }

  /** Becomes its own recoverer; false once another has finished, undefined without the store. */
  async #takeBack(): Promise<boolean | undefined> {
    const { self } = this.ctx;
    const claimed = await this.#update((shard) => claimRecovery(shard, self, self));
    return claimed.ok ? claimed.val.mine : undefined;
  }

  async #join(): Promise<boolean> {
    const backup = await this.ctx.backups.choose();
    const ask = { holder: this.ctx.self, backup, joined: false };
    const done = await this.#update((shard) => recordBackup(shard, ask));
    if (done.err || !this.#check(done.val)) return false;
    this.#backup = done.val.backup;
    return true;
  }

  #exposure(budget: string): Exposure {
    return this.#exposures.get(budget) ?? noExposure(budget);
  }

  #mayProceed(budget: string): boolean {
    if (this.#backup === null) return true;
    const known = this.#copied.get(budget) ?? noExposure(budget);
    const now = this.#exposure(budget);
    // Copying early keeps admission from waiting.
    if (committed(now) - committed(known) > WINDOW_UNITS / 4) void this.#copySoon();
    return isWithinWindow(now, committed(known));
  }

  #isHeld(sequence: number): boolean {
    return Math.max(this.#acknowledged, this.#settled) >= sequence;
  }

  /** Copies at the end of this turn of the event loop, so that its lines travel together. */
  #copySoon(): Promise<boolean> {
    this.#queued ??= this.#copyNext();
    return this.#queued;
  }

  async #copyNext(): Promise<boolean> {
    await this.#copying;
    await nextTurn();
    this.#queued = undefined;
    this.#copying = this.#copy();
    return this.#copying;
  }

  async #copy(): Promise<boolean> {
    const backup = this.#backup;
    if (backup === null || this.#isFenced) return false;
    const exposures = [...this.#exposures.values()].filter(
      (exposure) => this.#copied.get(exposure.budget) !== exposure,
    );
    const answer = await this.ctx.backups.send(this.#batch(backup, this.#acknowledged, exposures));
    // The backup on record may have changed meanwhile.
    if (this.#backup !== backup) return false;
    if (answer?.verdict === 'gap') this.#acknowledged = this.#settled;
    if (answer?.verdict === 'fenced') this.#fence('the backup has fenced this incarnation');
    if (answer?.verdict !== 'kept') {
      this.#backupFailures += 1;
      return false;
    }
    this.#backupFailures = 0;
    this.#acknowledged = Math.max(this.#acknowledged, answer.through);
    exposures.forEach((exposure) => this.#copied.set(exposure.budget, exposure));
    return true;
  }

  #batch(backup: Incarnation, after: number, exposures: readonly Exposure[]): CopyBatch {
    return {
      type: 'copy-lines',
      holder: this.ctx.self,
      backup,
      shard: this.shard,
      lines: this.#lines.filter(({ sequence }) => sequence > after),
      settled: this.#settled,
      exposures,
      window: WINDOW_UNITS,
    };
  }

  async #send(by: Incarnation): Promise<boolean> {
    const { store, self, recorder } = this.ctx;
    const job = { shard: this.shard, holder: self, by, settled: this.#settled, lines: this.#lines };
    const done = await deliverLines(store, job);
    if (done.err) {
      this.#storeFailures += 1;
      recorder.record('chargesDelayed', { detail: done.val.text });
      return false;
    }
    this.#storeFailures = 0;
    if (!this.#check(done.val)) return false;
    const { settled } = done.val;
    this.#settled = Math.max(this.#settled, settled);
    this.#lines = this.#lines.filter(({ sequence }) => sequence > settled);
    recorder.record('chargesDelivered', { detail: `shard ${this.shard} through ${settled}` });
    return true;
  }

  #update<Outcome>(
    change: Parameters<typeof updateObject<ReturnType<typeof parseShard>, Outcome>>[2],
  ): Promise<Result<Outcome, StoreError>> {
    const kind = { key: shardKey(this.shard), parse: parseShard };
    return updateObject(this.ctx.store, kind, change);
  }

  #check(answer: EntryAnswer): boolean {
    if (answer.fenced) this.#fence('the shard entry is not active any more');
    return !answer.fenced;
  }

  #fence(detail: string): void {
    if (this.#isFenced) return;
    this.#isFenced = true;
    this.ctx.onFenced(`${detail} (shard ${this.shard})`);
  }
}
