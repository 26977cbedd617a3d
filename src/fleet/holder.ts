/**
 * State of a holder in one shard: its lines and commitments, and which of them its backup and the
 * store have.
 */
import { mergeExposures } from './copies.js';
import { committedUnits, isWithinWindow, emptyExposure, WINDOW_UNITS } from './exposure.js';

import type { ChargeLine, EntryAnswer, Exposure } from '../budget/index.js';
import type { Incarnation } from '../kernel/index.js';
import type { CopyBatch, CopyVerdict } from './copies.js';

/** A charge to be recorded as a line. */
export type Charge = Pick<ChargeLine, 'key' | 'workspace' | 'budget' | 'units'>;

/** Lines and commitments of one holder in one shard. */
export interface HolderState {
  readonly self: Incarnation;
  readonly shard: number;
  /** Daemon on record that receives the copies; null if there is none. */
  readonly backup: Incarnation | null;
  /** The other daemon on record, which receives the copies when the backup does not answer. */
  readonly standby: Incarnation | null;
  /** Sequence of the next line. */
  readonly next: number;
  /** Highest sequence that is settled in the store. */
  readonly settled: number;
  /** Highest sequence that the current backup has acknowledged. */
  readonly acknowledged: number;
  /** Lines that are not settled in the store. */
  readonly lines: readonly ChargeLine[];
  readonly exposures: readonly Exposure[];
  /** Exposures that the current backup has acknowledged. */
  readonly acknowledgedExposures: readonly Exposure[];
  /** A change of backup and standby is in progress: another pair may already be on record. */
  readonly isChanging: boolean;
  /**
   * During a change: the daemon that is on record whether or not it took effect; null if none is.
   */
  readonly retained: Incarnation | null;
  /** The holder is fenced: it must not use its rows any more. */
  readonly isFenced: boolean;
}

/**
 * Creates the state of a holder without lines and commitments.
 * @param self - incarnation of the holder
 * @param shard - shard number
 * @returns the empty state
 */
export function newHolderState(self: Incarnation, shard: number): HolderState {
  return {
    self,
    shard,
    backup: null,
    standby: null,
    next: 1,
    settled: 0,
    acknowledged: 0,
    lines: [],
    exposures: [],
    acknowledgedExposures: [],
    isChanging: false,
    retained: null,
    isFenced: false,
  };
}

/**
 * Returns the counters of a budget.
 * @param exposures - counters of several budgets
 * @param budget - budget name
 * @returns the counters of the budget; zeros if there are none
 */
export function exposureOf(exposures: readonly Exposure[], budget: string): Exposure {
  return exposures.find((exposure) => exposure.budget === budget) ?? emptyExposure(budget);
}

/** Changes of a holder's commitments in one budget; absent fields count as zero. */
export interface Commitment {
  readonly budget: string;
  /** Units of a new reservation. */
  readonly reserved?: number;
  /** Units of a reservation that has ended. */
  readonly released?: number;
  /** Total units lent. */
  readonly passed?: number;
}

/**
 * Records commitments.
 * @param state - state of the holder
 * @param change - reserved, released or lent units
 * @returns the state with the raised counters
 */
export function recordCommitment(state: HolderState, change: Commitment): HolderState {
  const { budget, reserved = 0, released = 0, passed = 0 } = change;
  const before = exposureOf(state.exposures, budget);
  const next: Exposure = {
    budget,
    reservedTotal: before.reservedTotal + reserved,
    releasedTotal: before.releasedTotal + released,
    passed: Math.max(before.passed, passed),
  };
  const others = state.exposures.filter((exposure) => exposure.budget !== budget);
  return { ...state, exposures: [...others, next] };
}

/**
 * Returns the committed units that the backup has not acknowledged.
 * @param state - state of the holder
 * @param budget - budget name
 * @returns units
 */
export function unacknowledgedUnits(state: HolderState, budget: string): number {
  const now = exposureOf(state.exposures, budget);
  return committedUnits(now) - committedUnits(exposureOf(state.acknowledgedExposures, budget));
}

/**
 * Returns whether committed units may be used now.
 * @param state - state of the holder
 * @param budget - budget name
 * @returns true within the window, and without a backup, since a recovery would then hold all units
 * anyway; false once fenced
 */
export function mayProceed(state: HolderState, budget: string): boolean {
  if (state.isFenced) return false;
  if (state.backup === null && !state.isChanging) return true;
  const known = committedUnits(exposureOf(state.acknowledgedExposures, budget));
  return isWithinWindow(exposureOf(state.exposures, budget), known);
}

/**
 * Records a charge as a line. The caller must release the reservation in the same turn of the event
 * loop.
 * @param state - state of the holder
 * @param charge - the charge
 * @param at - milliseconds since the epoch
 * @returns the state with the new line
 */
export function addLine(state: HolderState, charge: Charge, at: number): HolderState {
  const line: ChargeLine = { ...charge, holder: state.self, sequence: state.next, at };
  return { ...state, next: state.next + 1, lines: [...state.lines, line] };
}

/**
 * Returns whether a line is durable: acknowledged by the backup or settled in the store.
 * @param state - state of the holder
 * @param sequence - sequence of the line
 * @returns whether the last frame of the answer may be sent to the caller
 */
export function isLineDurable(state: HolderState, sequence: number): boolean {
  return Math.max(state.acknowledged, state.settled) >= sequence;
}

/**
 * Builds the next message to a backup. The current backup receives only lines and exposures that it
 * has not acknowledged; any other incarnation receives all lines that are not settled, and all
 * exposures.
 * @param state - state of the holder
 * @param backup - incarnation that receives the message
 * @returns the message
 */
export function buildCopyBatch(state: HolderState, backup: Incarnation): CopyBatch {
  const isOnRecord = backup === state.backup;
  const after = isOnRecord ? state.acknowledged : state.settled;
  const isUnacknowledged = (exposure: Exposure): boolean => {
    const known = exposureOf(state.acknowledgedExposures, exposure.budget);
    return (
      committedUnits(exposure) > committedUnits(known) ||
      exposure.releasedTotal > known.releasedTotal
    );
  };
  return {
    type: 'copy-lines',
    holder: state.self,
    backup,
    shard: state.shard,
    lines: state.lines.filter(({ sequence }) => sequence > after),
    settled: state.settled,
    exposures: isOnRecord ? state.exposures.filter(isUnacknowledged) : state.exposures,
    window: WINDOW_UNITS,
  };
}

/**
 * Returns whether acknowledgements of the backup count. This requires that it is certainly on
 * record, since a recoverer reads only the copies of daemons on record.
 * @param state - state of the holder
 * @returns whether lines may be sent to the backup now
 */
export function mayCopyLines(state: HolderState): boolean {
  const { backup, isChanging, isFenced, retained } = state;
  return backup !== null && !isFenced && (!isChanging || retained === backup);
}

/**
 * Applies the answer of a backup. Answers of any incarnation but the current backup are ignored.
 * @param state - state of the holder
 * @param batch - the message that was answered
 * @param answer - the answer
 * @returns the state with the acknowledged lines and exposures
 */
export function applyVerdict(
  state: HolderState,
  batch: CopyBatch,
  answer: CopyVerdict,
): HolderState {
  if (batch.backup !== state.backup) return state;
  if (answer.verdict === 'fenced') return { ...state, isFenced: true };
  if (!mayCopyLines(state)) return state;
  if (answer.verdict === 'gap') return { ...state, acknowledged: state.settled };
  if (answer.verdict !== 'kept') return state;
  return {
    ...state,
    acknowledged: Math.max(state.acknowledged, answer.through),
    acknowledgedExposures: mergeExposures(state.acknowledgedExposures, batch.exposures),
  };
}

/**
 * Applies the stored entry after the holder has joined the shard or settled lines.
 * @param state - state of the holder
 * @param answer - the current entry
 * @returns the state, fenced if the holder may not write its entry any more
 */
export function applyEntry(state: HolderState, answer: EntryAnswer): HolderState {
  if (answer.fenced) return { ...state, isFenced: true };
  const settled = Math.max(state.settled, answer.settled);
  return { ...state, settled, lines: state.lines.filter(({ sequence }) => sequence > settled) };
}

/**
 * Swaps backup and standby. Both are on record, so a recoverer fences both, and the shard need not
 * be updated. Which copies the new backup has is unknown.
 * @param state - state of the holder
 * @returns the state in which all lines that are not settled are sent again
 */
export function switchToStandby(state: HolderState): HolderState {
  if (state.standby === null || state.isChanging) return state;
  const { backup, standby, settled } = state;
  return {
    ...state,
    backup: standby,
    standby: backup,
    acknowledged: settled,
    acknowledgedExposures: [],
  };
}

/**
 * Begins a change of backup and standby. Until the change has certainly taken effect or certainly
 * failed, only a daemon that stays on record either way receives copies; if there is none, lines
 * become durable only when they are settled in the store.
 * @param state - state of the holder
 * @param pair - new backup and standby
 * @returns the state in which the new pair may be recorded
 */
export function beginBackupChange(
  state: HolderState,
  pair: readonly (Incarnation | null)[],
): HolderState {
  const certain = state.isChanging ? [state.retained] : [state.backup, state.standby];
  const retained = certain.find((replica) => replica !== null && pair.includes(replica)) ?? null;
  const isSwitch = retained !== null && retained === state.standby;
  const ready = isSwitch ? switchToStandby(state) : state;
  return { ...ready, isChanging: true, retained };
}

/**
 * Ends a change of backup and standby that certainly has not taken effect.
 * @param state - state of the holder
 * @returns the state with the earlier pair
 */
export function cancelBackupChange(state: HolderState): HolderState {
  return { ...state, isChanging: false, retained: null };
}

/**
 * Ends a change that has taken effect; the new backup has stored the complete batch before.
 * @param state - state of the holder
 * @param batch - the message that the new backup has stored
 * @param kept - its answer, and the new standby
 * @returns the state with the new backup
 */
export function completeBackupChange(
  state: HolderState,
  batch: CopyBatch,
  { through, standby }: { readonly through: number; readonly standby: Incarnation | null },
): HolderState {
  return {
    ...state,
    backup: batch.backup,
    standby,
    acknowledged: through,
    acknowledgedExposures: batch.exposures,
    isChanging: false,
    retained: null,
  };
}
