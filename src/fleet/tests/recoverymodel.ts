/**
 * Model for property-based tests: one holder, its backups, its recoverers and the store, in memory.
 */
import {
  claimRecovery,
  releaseOnShutdown,
  entryOf,
  finishRecovery,
  grant,
  recordCause,
  parseShard,
  recordBackup,
  settle,
  settleHeld,
  topUp,
} from '../../budget/index.js';
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
  fence,
  isLineDurable,
  acceptBatch,
  mayProceed,
  newHolderState,
  NO_COPIES,
  recover,
  switchToStandby,
  mayCopyLines,
  WINDOW_UNITS,
} from '../index.js';

import type { BudgetShard, ChargeLine, HolderRow } from '../../budget/index.js';
import type { UpdateDecision } from '../../store/index.js';
import type { Copies, CopyBatch, CopyVerdict, HolderState } from '../index.js';
import type { RecoveryCommand, RecoveryEvent } from '../recovery.js';

const BUDGET = 'b';
const HOLDER = 'h~1';
/** Units paid into the budget, enough for a few grants. */
export const PAID = 40 * WINDOW_UNITS;
const MAX_NEW_LINES = 1_000;
const MAX_COMMANDS = 10;
const REPLICAS = ['p~1', 'q~1', 'x~1'];
const INITIAL_BACKUPS = { backup: 'p~1', standby: 'q~1' };

/** A message in transit; it may be lost, repeated and reordered. */
type Message =
  | { readonly type: 'copy'; readonly batch: CopyBatch }
  | { readonly type: 'verdict'; readonly batch: CopyBatch; readonly answer: CopyVerdict };

type Recovery = ReturnType<typeof recover>;

/** One step of a schedule; the numbers select among messages, reservations and daemons. */
export interface Step {
  readonly type:
    | 'grant'
    | 'reserve'
    | 'charge'
    | 'abandon'
    | 'copy'
    | 'deliver'
    | 'repeat'
    | 'lose'
    | 'settle'
    | 'change'
    | 'switch'
    | 'recover'
    | 'leave'
    | 'operator'
    | 'crash-holder'
    | 'crash-backup';
  readonly pick: number;
  readonly units: number;
  /** Whether the answer to the step is lost. */
  readonly isLost: boolean;
}

/** State of the model, which steps change in place. */
export class RecoveryModel {
  shard: BudgetShard;

  holder: HolderState = newHolderState(HOLDER, 0);

  isHolderUp = true;

  hasLeft = false;

  /**
   * Whether an operator has returned the held units; lines that were not settled by then are never
   * charged.
   */
  isWrittenOff = false;

  readonly allLines: ChargeLine[] = [];

  /**
   * Sequences of lines that were durable at the holder, so that the last frame of their answer was
   * sent.
   */
  readonly answered = new Set<number>();

  readonly #copies = new Map<string, Copies>([
    ['p~1', NO_COPIES],
    ['q~1', NO_COPIES],
    ['x~1', NO_COPIES],
  ]);

  readonly #recoveries = new Map<string, Recovery>();

  readonly #events = new Map<string, RecoveryEvent>();

  #open: readonly number[] = [];

  #granted = 0;

  #messages: readonly Message[] = [];

  constructor() {
    const empty = parseShard(null);
    this.shard = empty;
    const payment = { budget: BUDGET, workspace: 'w', operation: 'op', units: PAID, at: 1 };
    this.#write((shard) => topUp(shard, payment));
    this.#write((shard) =>
      recordBackup(shard, { holder: HOLDER, ...INITIAL_BACKUPS, joined: false }),
    );
    this.holder = { ...this.holder, ...INITIAL_BACKUPS };
  }

  get row(): HolderRow {
    const found = this.shard.budgets[0]?.rows.find(({ holder }) => holder === HOLDER);
    return found ?? { holder: HOLDER, granted: 0, spent: 0, returned: 0 };
  }

  /** Units of the holder's open reservations. */
  get open(): number {
    return this.#open.reduce((sum, units) => sum + units, 0);
  }

  /** Highest settled sequence of the holder; all lines up to it are charged. */
  get settled(): number {
    return entryOf(this.shard, HOLDER)?.settled ?? 0;
  }

  get isEnded(): boolean {
    return entryOf(this.shard, HOLDER)?.state === 'ended';
  }

  step(step: Step): void {
    this.#dispatch(step);
    if (!this.isHolderUp) return;
    this.allLines
      .filter(({ sequence }) => isLineDurable(this.holder, sequence))
      .forEach(({ sequence }) => this.answered.add(sequence));
  }

  #dispatch(step: Step): void {
    if (step.type === 'recover') this.#runRecoverySteps(step);
    else if (step.type === 'operator') this.#settleHeldUnits();
    else if (step.type === 'crash-holder') this.isHolderUp = false;
    else if (step.type === 'crash-backup') this.#copies.delete(REPLICAS[step.pick % 3] ?? '');
    else if (['deliver', 'repeat', 'lose'].includes(step.type)) this.#handleMessage(step);
    else if (this.isHolderUp && !this.hasLeft) this.#applyHolderStep(step);
  }

  #applyHolderStep(step: Step): void {
    if (step.type === 'grant') this.#grant(step);
    if (step.type === 'reserve') this.#reserve(step.units);
    if (step.type === 'charge' || step.type === 'abandon') this.#endReservation(step);
    if (step.type === 'copy') this.#copy();
    if (step.type === 'settle') this.#settle(step.isLost);
    if (step.type === 'change') this.#change(step);
    if (step.type === 'switch') this.holder = switchToStandby(this.holder);
    if (step.type === 'leave') this.#leave(step.isLost);
  }

  #settleHeldUnits(): void {
    const order = { holder: HOLDER, budget: BUDGET, operation: 'op-2', at: 2 };
    if (this.#write((shard) => settleHeld(shard, order)).units > 0) this.isWrittenOff = true;
  }

  #write<Outcome>(change: (shard: BudgetShard) => UpdateDecision<BudgetShard, Outcome>): Outcome {
    const done = change(this.shard);
    if (done.kind === 'write') this.shard = done.value;
    return done.outcome;
  }

  #grant({ units, isLost }: Step): void {
    const ask = {
      holder: HOLDER,
      backup: null,
      budget: BUDGET,
      granted: this.#granted,
      needed: 1,
      wanted: units * 16,
      entered: true,
    };
    const answer = this.#write((shard) => grant(shard, ask));
    if (isLost) return;
    if (answer.fenced) this.holder = { ...this.holder, isFenced: true };
    else this.#granted = answer.granted;
  }

  #reserve(units: number): void {
    const used = this.allLines.reduce((sum, line) => sum + line.units, 0) + this.open;
    if (this.#granted - used < units) return;
    this.holder = recordCommitment(this.holder, { budget: BUDGET, reserved: units });
    if (mayProceed(this.holder, BUDGET)) this.#open = [...this.#open, units];
    else this.holder = recordCommitment(this.holder, { budget: BUDGET, released: units });
  }

  #endReservation({ type, pick, units }: Step): void {
    const index = pick % Math.max(1, this.#open.length);
    const reserved = this.#open[index];
    if (reserved === undefined) return;
    this.#open = this.#open.filter((_, at) => at !== index);
    this.holder = recordCommitment(this.holder, { budget: BUDGET, released: reserved });
    if (type === 'abandon') return;
    const key = `k${this.holder.next}`;
    const charge = { key, workspace: 'w', budget: BUDGET, units: Math.min(units, reserved) };
    this.holder = addLine(this.holder, charge, 1);
    const line = this.holder.lines.at(-1);
    if (line) this.allLines.push(line);
  }

  #copy(): void {
    const { backup } = this.holder;
    if (backup === null || !mayCopyLines(this.holder)) return;
    this.#messages = [
      ...this.#messages,
      { type: 'copy', batch: buildCopyBatch(this.holder, backup) },
    ];
  }

  #handleMessage({ type, pick }: Step): void {
    const index = pick % Math.max(1, this.#messages.length);
    const message = this.#messages[index];
    if (!message) return;
    if (type !== 'repeat') this.#messages = this.#messages.filter((_, at) => at !== index);
    if (type !== 'lose') this.#receive(message);
  }

  #receive(message: Message): void {
    if (message.type === 'copy') {
      const answer = this.#acceptBatch(message.batch);
      if (answer) {
        this.#messages = [...this.#messages, { type: 'verdict', batch: message.batch, answer }];
      }
    } else if (this.isHolderUp) {
      this.holder = applyVerdict(this.holder, message.batch, message.answer);
    }
  }

  #acceptBatch(batch: CopyBatch): CopyVerdict | undefined {
    const copies = this.#copies.get(batch.backup);
    if (!copies) return undefined;
    const kept = acceptBatch(copies, batch, MAX_NEW_LINES);
    this.#copies.set(batch.backup, kept.copies);
    return kept.verdict;
  }

  #settle(isLost: boolean): void {
    const { lines } = this.holder;
    const answer = this.#write((shard) => settle(shard, { holder: HOLDER, by: HOLDER, lines }));
    if (!isLost) this.holder = applyEntry(this.holder, answer);
  }

  #change({ isLost, pick, units }: Step): void {
    const { isChanging, isFenced } = this.holder;
    if (isFenced) return;
    const candidate = REPLICAS[pick % 3] ?? '';
    const others = REPLICAS.filter((replica) => replica !== candidate);
    const standby = others[units % 3] ?? null;
    this.holder = beginBackupChange(this.holder, [candidate, standby]);
    const batch = buildCopyBatch({ ...this.holder, backup: null }, candidate);
    const kept = this.#acceptBatch(batch);
    if (kept?.verdict !== 'kept') {
      if (!isChanging) this.holder = cancelBackupChange(this.holder);
      return;
    }
    const ask = { holder: HOLDER, backup: candidate, standby, joined: true };
    const answer = this.#write((shard) => recordBackup(shard, ask));
    if (isLost) return;
    this.holder = applyEntry(this.holder, answer);
    if (answer.fenced) return;
    const { through } = kept;
    this.holder = completeBackupChange(this.holder, batch, { through, standby });
  }

  #leave(isLost: boolean): void {
    if (this.open > 0) return;
    const isMine = this.#write((shard) => claimRecovery(shard, HOLDER, HOLDER)).isAllowed;
    const { lines } = this.holder;
    if (isMine) this.#write((shard) => settle(shard, { holder: HOLDER, by: HOLDER, lines }));
    if (isLost) return;
    const lent = exposureOf(this.holder.exposures, BUDGET).passed;
    this.hasLeft = this.#write((shard) => releaseOnShutdown(shard, HOLDER, () => lent)).isAllowed;
  }

  /**
   * Runs one or more commands of a recovery, so that it often completes without other steps in
   * between.
   */
  #runRecoverySteps({ pick, units, isLost }: Step): void {
    const commands = 1 + (units % MAX_COMMANDS);
    for (let at = 1; at <= commands; at += 1)
      this.#runRecoveryStep(pick, isLost && at === commands);
  }

  #runRecoveryStep(pick: number, isLost: boolean): void {
    const by = pick % 2 === 0 ? 'r~1' : 's~1';
    const entry = entryOf(this.shard, HOLDER);
    if (!entry) return;
    const running = this.#recoveries.get(by) ?? recover(entry);
    this.#recoveries.set(by, running);
    const event = this.#events.get(by);
    const next = event ? running.next(event) : running.next();
    if (next.done) {
      this.#recoveries.delete(by);
      this.#events.delete(by);
      return;
    }
    const done = this.#perform(by, next.value);
    this.#events.set(by, isLost ? { type: 'failed' } : done);
  }

  #perform(by: string, command: RecoveryCommand): RecoveryEvent {
    switch (command.type) {
      case 'claim': {
        const { entry, isAllowed } = this.#write((shard) => claimRecovery(shard, HOLDER, by));
        return isAllowed && entry ? { type: 'claimed', entry } : { type: 'failed' };
      }
      case 'fence':
        return this.#fence(command.replica);
      case 'probe': {
        const isThere = command.replicas.every((replica) => this.#copies.has(replica));
        return { type: isThere ? 'done' : 'gone' };
      }
      case 'deliver': {
        const { lines } = command;
        const { fenced } = this.#write((shard) => settle(shard, { holder: HOLDER, by, lines }));
        return { type: fenced ? 'failed' : 'done' };
      }
      case 'finish': {
        const ask = { holder: HOLDER, by, known: command.known };
        const { isAllowed } = this.#write((shard) => finishRecovery(shard, ask));
        return { type: isAllowed ? 'done' : 'failed' };
      }
      case 'note':
        this.#write((shard) => recordCause(shard, HOLDER, command.cause));
        return { type: 'done' };
      default:
        return { type: 'done' };
    }
  }

  #fence(backup: string): RecoveryEvent {
    const copies = this.#copies.get(backup);
    if (!copies) return { type: 'gone' };
    this.#copies.set(backup, fence(copies));
    const { lines, exposures } = copies;
    const window = Math.max(copies.window, WINDOW_UNITS);
    return {
      type: 'handed',
      fencedCopies: { type: 'holder-fenced', isBackup: true, lines, exposures, window },
    };
  }
}
