/** Updates of a shard that recover a stopped holder and release or hold its units. */
import { totalOf } from './escrow.js';
import { entryOf, mapRows, withEntry } from './settlement.js';

import type { UpdateDecision } from '../store/index.js';
import type { BudgetRecord, BudgetShard, HolderEntry, HolderRow } from './shard.js';

/** Causes for which units stay held; stored with the holder's entry. */
export const HOLD_CAUSES = {
  fencing: 'the holder is silent, and so is a daemon that may have its copies',
  noBackup: 'the holder had no backup; what it used is unknown',
  copiesLost: 'the backup has lost its copies; what the holder used is unknown',
  open: 'requests that were open when the holder stopped, and its window ahead of the backup',
} as const;

/** Units of one budget that a holder may have used beyond its charge lines. */
export interface Exposure {
  readonly budget: string;
  /** Total units of all reservations made; only grows. */
  readonly reservedTotal: number;
  /** Total units of all reservations ended; only grows. */
  readonly releasedTotal: number;
  /** Total units lent to other holders; only grows. */
  readonly passed: number;
}

/** Last known state of a fenced holder. */
export interface FencedState {
  readonly exposures: readonly Exposure[];
  /** Units per budget that the holder may have committed without its backup knowing. */
  readonly window: number;
}

/** Result of a recovery step. */
export interface RecoveryAnswer {
  /** Resulting entry; undefined once it is closed. */
  readonly entry: HolderEntry | undefined;
  /** Whether the calling incarnation may perform the step. */
  readonly isAllowed: boolean;
}

/**
 * Returns the units of a row that are neither spent nor returned.
 * @param row - the row
 * @returns units that are held under the row
 */
export function heldIn(row: HolderRow): number {
  return Math.max(0, row.granted - row.spent - row.returned);
}

/**
 * Records an incarnation as the recoverer of a holder; from then on the holder's own writes are
 * refused.
 * @param shard - current shard
 * @param holder - holder that is suspected to have stopped
 * @param claimant - incarnation that recovers it, replacing any earlier recoverer
 * @returns the change and the resulting entry
 */
export function claimRecovery(
  shard: BudgetShard,
  holder: string,
  claimant: string,
): UpdateDecision<BudgetShard, RecoveryAnswer> {
  const entry = entryOf(shard, holder);
  if (!entry || entry.state === 'ended')
    return { kind: 'keep', outcome: { entry, isAllowed: false } };
  if (entry.state === 'recovering' && entry.recoverer === claimant) {
    return { kind: 'keep', outcome: { entry, isAllowed: true } };
  }
  const cause = HOLD_CAUSES.fencing;
  const next: HolderEntry = { ...entry, state: 'recovering', recoverer: claimant, cause };
  return {
    kind: 'write',
    value: withEntry(shard, next),
    outcome: { entry: next, isAllowed: true },
  };
}

/** Returns the lent units that the rows do not show yet; the borrowers may be using them. */
function unrecordedLoans(row: HolderRow, passed: number): number {
  return Math.max(0, passed - totalOf(row.passed ?? []));
}

/**
 * Returns the units of a row that may be in use: open reservations, unrecorded loans and the
 * window.
 */
function unprovenUnits(row: HolderRow, budget: string, known: FencedState): number {
  const found = known.exposures.find((exposure) => exposure.budget === budget);
  if (!found) return known.window;
  const open = found.reservedTotal - found.releasedTotal;
  return open + unrecordedLoans(row, found.passed) + known.window;
}

/** Releases the held units of a row above a limit to the budget, and records the limit. */
function releaseBeyondHold(row: HolderRow, hold: number): HolderRow {
  const free = Math.max(0, heldIn(row) - hold);
  return { ...row, hold, returned: row.returned + free };
}

/**
 * Ends the recovery of a fenced holder whose copied lines have been settled. Units that are proved
 * unused return to their budgets; all others stay held, with the cause on record.
 * @param shard - current shard
 * @param request - holder, its recoverer and the state known to its backups
 * @returns the change and the resulting entry
 */
export function finishRecovery(
  shard: BudgetShard,
  request: { readonly holder: string; readonly by: string; readonly known: FencedState },
): UpdateDecision<BudgetShard, RecoveryAnswer> {
  const entry = entryOf(shard, request.holder);
  const isRecoverer = entry?.state === 'recovering' && entry.recoverer === request.by;
  if (!entry || !isRecoverer) return { kind: 'keep', outcome: { entry, isAllowed: false } };
  const next: HolderEntry = { ...entry, state: 'ended', cause: HOLD_CAUSES.open };
  const freed = mapRows(shard, request.holder, (row, budget) =>
    releaseBeyondHold(row, unprovenUnits(row, budget.name, request.known)),
  );
  return {
    kind: 'write',
    value: withEntry(freed, next),
    outcome: { entry: next, isAllowed: true },
  };
}

/**
 * Records why an unresponsive holder cannot be recovered now; its units stay held. An active holder
 * stays active: it may only be disconnected, and it has not been fenced.
 * @param shard - current shard
 * @param holder - the holder
 * @param cause - reason for which its units stay held
 * @returns the change and the resulting entry
 */
export function recordCause(
  shard: BudgetShard,
  holder: string,
  cause: string,
): UpdateDecision<BudgetShard, RecoveryAnswer> {
  const entry = entryOf(shard, holder);
  if (!entry || entry.state === 'ended' || entry.cause === cause) {
    return { kind: 'keep', outcome: { entry, isAllowed: true } };
  }
  const next = { ...entry, cause };
  return {
    kind: 'write',
    value: withEntry(shard, next),
    outcome: { entry: next, isAllowed: true },
  };
}

/**
 * Releases the unused units of a holder that shuts down. The caller guarantees that none of its
 * reservations is open and all its lines are settled. Lent units that the rows do not show yet stay
 * held.
 * @param shard - current shard
 * @param holder - incarnation of the holder itself
 * @param lent - returns the total units lent to other holders from a budget
 * @returns the change and the resulting entry
 */
export function releaseOnShutdown(
  shard: BudgetShard,
  holder: string,
  lent: (budget: string) => number,
): UpdateDecision<BudgetShard, RecoveryAnswer> {
  const entry = entryOf(shard, holder);
  const hasEntry = entry !== undefined;
  // While another incarnation recovers the holder, lines that the holder's backup acknowledged may
  // not be settled yet.
  if (!entry || (entry.state === 'recovering' && entry.recoverer !== holder)) {
    return { kind: 'keep', outcome: { entry, isAllowed: false } };
  }
  const next: HolderEntry = { ...entry, state: 'ended' };
  const freed = mapRows(shard, holder, (row, budget) =>
    releaseBeyondHold(row, unrecordedLoans(row, lent(budget.name))),
  );
  return {
    kind: 'write',
    value: withEntry(freed, next),
    outcome: { entry: next, isAllowed: hasEntry },
  };
}

/** Units that stay held after their holder has stopped or become unresponsive. */
export interface HeldUnits {
  readonly holder: string;
  readonly budget: string;
  readonly units: number;
  readonly state: HolderEntry['state'];
  readonly cause: string;
  readonly backup: string | null;
  readonly recoverer: string | null;
}

function seemsStopped(entry: HolderEntry): boolean {
  return entry.state !== 'active' || entry.cause !== '';
}

/**
 * Lists the units held under holders that have stopped or are unresponsive.
 * @param shard - current shard
 * @returns one entry for each holder and budget with held units
 */
export function heldUnits(shard: BudgetShard): readonly HeldUnits[] {
  return shard.budgets.flatMap((budget) =>
    budget.rows.flatMap((row) => {
      const entry = entryOf(shard, row.holder);
      const units = heldIn(row);
      if (!entry || !seemsStopped(entry) || units === 0) return [];
      const { holder, state, cause, backup, recoverer } = entry;
      return [{ holder, budget: budget.name, units, state, cause, backup, recoverer }];
    }),
  );
}

/** An operator's order to return held units to their budget. */
export interface SettleHeldRequest {
  readonly holder: string;
  readonly budget: string;
  readonly operation: string;
  readonly at: number;
}

/** Result of an operator's order. */
export interface SettleHeldAnswer {
  /** Whether budget, holder and row exist. */
  readonly known: boolean;
  /** Whether the holder is active: its units are in use, not held. */
  readonly active: boolean;
  readonly units: number;
  readonly repeated: boolean;
}

function settleRow(budget: BudgetRecord, request: SettleHeldRequest, units: number): BudgetRecord {
  const { operation, holder, at } = request;
  const rows = budget.rows.map((row) => (row.holder === holder ? releaseBeyondHold(row, 0) : row));
  return {
    ...budget,
    rows,
    settlements: [...budget.settlements, { operation, holder, units, at }],
  };
}

/**
 * Gives the held units of a stopped holder back to their budget, once for each operation id, and
 * ends the holder. Lines of the holder that are not settled by then are never charged.
 * @param shard - current shard
 * @param request - the order
 * @returns the change and its result
 */
export function settleHeld(
  shard: BudgetShard,
  request: SettleHeldRequest,
): UpdateDecision<BudgetShard, SettleHeldAnswer> {
  const budget = shard.budgets.find(({ name }) => name === request.budget);
  const earlier = budget?.settlements.find(({ operation }) => operation === request.operation);
  if (earlier) {
    const outcome = { known: true, active: false, units: earlier.units, repeated: true };
    return { kind: 'keep', outcome };
  }
  const entry = entryOf(shard, request.holder);
  const row = budget?.rows.find(({ holder }) => holder === request.holder);
  const known = budget !== undefined && entry !== undefined && row !== undefined;
  if (!known || !seemsStopped(entry)) {
    const active = entry !== undefined && !seemsStopped(entry);
    const outcome = { known, active, units: 0, repeated: false };
    return { kind: 'keep', outcome };
  }
  const units = heldIn(row);
  const ended = withEntry(shard, { ...entry, state: 'ended' });
  const budgets = ended.budgets.map((found) =>
    found === budget ? settleRow(found, request, units) : found,
  );
  const outcome = { known: true, active: false, units, repeated: false };
  return { kind: 'write', value: { ...ended, budgets }, outcome };
}

function canClose(
  shard: BudgetShard,
  entry: HolderEntry,
  folded: ReadonlyMap<string, number>,
): boolean {
  if (entry.state !== 'ended' || (folded.get(entry.holder) ?? 0) < entry.settled) return false;
  // A row that has spent more than it was granted waits for a loan to be recorded.
  return shard.budgets.every(({ rows }) =>
    rows.every((row) => row.holder !== entry.holder || row.granted === row.spent + row.returned),
  );
}

/**
 * Releases units that reached the rows of ended holders after their recovery, such as loans
 * recorded late.
 */
function releaseLateUnits(shard: BudgetShard): BudgetShard {
  const late = shard.holders.filter(({ holder, state }) => {
    const isLate = (row: HolderRow): boolean =>
      row.holder === holder && row.hold !== undefined && heldIn(row) > row.hold;
    return state === 'ended' && shard.budgets.some(({ rows }) => rows.some(isLate));
  });
  return late.reduce(
    (value, { holder }) =>
      mapRows(value, holder, (row) => releaseBeyondHold(row, row.hold ?? heldIn(row))),
    shard,
  );
}

/**
 * Removes the entries and rows of ended holders that hold no units and whose lines are all in the
 * statement; their spent units are added to "retired".
 * @param shard - current shard
 * @param folded - highest sequence in the statement, by holder
 * @returns the change and the number of closed holders
 */
export function closeEnded(
  shard: BudgetShard,
  folded: ReadonlyMap<string, number>,
): UpdateDecision<BudgetShard, number> {
  const freed = releaseLateUnits(shard);
  const closing = freed.holders.filter((entry) => canClose(freed, entry, folded));
  if (closing.length === 0) {
    return freed === shard
      ? { kind: 'keep', outcome: 0 }
      : { kind: 'write', value: freed, outcome: 0 };
  }
  const names = new Set(closing.map(({ holder }) => holder));
  const budgets = freed.budgets.map((budget) => {
    const closedRows = budget.rows.filter(({ holder }) => names.has(holder));
    const retired = closedRows.reduce((sum, row) => sum + row.spent, budget.retired);
    return { ...budget, retired, rows: budget.rows.filter(({ holder }) => !names.has(holder)) };
  });
  const holders = freed.holders.filter(({ holder }) => !names.has(holder));
  return { kind: 'write', value: { ...freed, budgets, holders }, outcome: closing.length };
}
