/** What a holder has recorded in one shard, and what of it others hold: plain data and rules. */
import { mergeExposures } from './copies.js';
import { committedUnits, isWithinWindow, emptyExposure, WINDOW_UNITS } from './exposure.js';

import type { ChargeLine, EntryAnswer, Exposure } from '../budget/index.js';
import type { Incarnation } from '../kernel/index.js';
import type { CopyBatch, CopyVerdict } from './copies.js';

/** What is to be charged. */
export type Charge = Pick<ChargeLine, 'key' | 'workspace' | 'budget' | 'units'>;

/** Lines and commitments of one holder in one shard. */
export interface HolderState {
  readonly self: Incarnation;
  readonly shard: number;
  /** Daemon on record that takes the copies now; null for none. */
  readonly backup: Incarnation | null;
  /** The other daemon on record, which takes the copies when the first does not answer. */
  readonly standby: Incarnation | null;
  /** Sequence of the next line. */
  readonly next: number;
  /** Highest sequence that the store holds. */
  readonly settled: number;
  /** Highest sequence that the daemon that takes the copies now has acknowledged. */
  readonly acknowledged: number;
  /** Lines that the store does not hold. */
  readonly lines: readonly ChargeLine[];
  readonly exposures: readonly Exposure[];
  /** Exposures that the backup on record has acknowledged. */
  readonly acknowledgedExposures: readonly Exposure[];
  /** Another pair of daemons may already be on record. */
  readonly isChanging: boolean;
  /** During a change: the daemon that is on record whether or not it has taken effect. */
  readonly retained: Incarnation | null;
  /** The incarnation may not use its rows any more. */
  readonly isFenced: boolean;
}

/**
 * Gives the state of a holder that has recorded nothing.
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
 * Finds the counters of a budget.
 * @param exposures - counters of several budgets
 * @param budget - budget name
 * @returns its counters; zeros if there are none
 */
export function exposureOf(exposures: readonly Exposure[], budget: string): Exposure {
  return exposures.find((exposure) => exposure.budget === budget) ?? emptyExposure(budget);
}

/** Further commitments of a holder in one budget; absent ones are zero. */
export interface Commitment {
  readonly budget: string;
  /** Units of a reservation that begins. */
  readonly reserved?: number;
  /** Units of a reservation that ends. */
  readonly released?: number;
  /** Units lent in all. */
  readonly passed?: number;
}

/**
 * Takes note of commitments.
 * @param state - state of the holder
 * @param change - what begins, ends or is lent
 * @returns the state with the grown counters
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
 * Gives the units that a holder has committed beyond what its backup knows.
 * @param state - state of the holder
 * @param budget - budget name
 * @returns units
 */
export function unacknowledgedUnits(state: HolderState, budget: string): number {
  const now = exposureOf(state.exposures, budget);
  return committedUnits(now) - committedUnits(exposureOf(state.acknowledgedExposures, budget));
}

/**
 * Says whether what is committed may be used now.
 * @param state - state of the holder
 * @param budget - budget name
 * @returns whether the holder is inside its window; without a backup everything would stay held
 */
export function mayProceed(state: HolderState, budget: string): boolean {
  if (state.isFenced) return false;
  if (state.backup === null && !state.isChanging) return true;
  const known = committedUnits(exposureOf(state.acknowledgedExposures, budget));
  return isWithinWindow(exposureOf(state.exposures, budget), known);
}

/**
 * Records a charge; the end of its reservation must be noted in the same turn.
 * @param state - state of the holder
 * @param charge - what is to be charged
 * @param at - milliseconds since the epoch
 * @returns the state with the line
 */
export function addLine(state: HolderState, charge: Charge, at: number): HolderState {
  const line: ChargeLine = { ...charge, holder: state.self, sequence: state.next, at };
  return { ...state, next: state.next + 1, lines: [...state.lines, line] };
}

/**
 * Says whether a second daemon or the store holds a line.
 * @param state - state of the holder
 * @param sequence - sequence of the line
 * @returns whether the last frame of its answer may leave
 */
export function isLineDurable(state: HolderState, sequence: number): boolean {
  return Math.max(state.acknowledged, state.settled) >= sequence;
}

/**
 * Makes the next message to the backup on record: only what it has not acknowledged.
 * To another incarnation everything is sent that the store does not hold.
 * @param state - state of the holder
 * @param backup - receiver
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
 * Says whether what the backup acknowledges counts: it must be on record for certain.
 * @param state - state of the holder
 * @returns whether lines may be copied now
 */
export function mayCopyLines(state: HolderState): boolean {
  const { backup, isChanging, isFenced, retained } = state;
  return backup !== null && !isFenced && (!isChanging || retained === backup);
}

/**
 * Takes the answer of a backup. Answers of one that is not on record change nothing.
 * @param state - state of the holder
 * @param batch - message that was answered
 * @param answer - the answer
 * @returns the state with what is acknowledged
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
 * Takes note of the entry after the holder has joined or has settled lines.
 * @param state - state of the holder
 * @param answer - the entry in force
 * @returns the state, fenced if the holder has lost its entry
 */
export function applyEntry(state: HolderState, answer: EntryAnswer): HolderState {
  if (answer.fenced) return { ...state, isFenced: true };
  const settled = Math.max(state.settled, answer.settled);
  return { ...state, settled, lines: state.lines.filter(({ sequence }) => sequence > settled) };
}

/**
 * Lets the other daemon on record take the copies. Both are on record, so a recoverer fences
 * both, and no update of the shard is needed. What the other one holds is not known here.
 * @param state - state of the holder
 * @returns the state in which everything that is not settled is copied again
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
 * Begins a change of the daemons on record. Until it is known to have taken effect or certainly
 * has not, only a daemon that stays on record takes copies; without one, only the store does.
 * @param state - state of the holder
 * @param pair - daemons that shall be on record
 * @returns the state in which another pair may be recorded
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
 * Ends a change of the backup that certainly has not taken effect.
 * @param state - state of the holder
 * @returns the state with the backup that stays on record
 */
export function cancelBackupChange(state: HolderState): HolderState {
  return { ...state, isChanging: false, retained: null };
}

/**
 * Takes note of another backup on record, which has kept everything that was sent to it.
 * @param state - state of the holder
 * @param batch - message that the new backup has kept
 * @param kept - its answer, and the standby that is on record with it
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
