/** Rules by which a holder that has stopped is recovered, and its units freed or held. */
import { totalOf } from './escrow.js';
import { entryOf, mapRows, withEntry } from './settlement.js';

import type { Change } from '../store/index.js';
import type { BudgetRecord, BudgetShard, HolderEntry, HolderRow } from './shard.js';

/** Why units stay held. */
export const HOLD_CAUSES = {
  fencing: 'the holder is silent, and so is a daemon that may have its copies',
  noBackup: 'the holder had no backup; what it used is unknown',
  copiesLost: 'the backup has lost its copies; what the holder used is unknown',
  open: 'requests that were open when the holder stopped, and its window ahead of the backup',
} as const;

/** What a holder may have used of one budget beyond its charge lines. */
export interface Exposure {
  readonly budget: string;
  /** Units of every reservation that was ever made; only grows. */
  readonly reservedTotal: number;
  /** Units of every reservation that has ended; only grows. */
  readonly releasedTotal: number;
  /** Units lent to other holders; only grows. */
  readonly passed: number;
}

/** What is known of a holder that cannot write any more. */
export interface FencedState {
  readonly exposures: readonly Exposure[];
  /** Units that the holder may be ahead of its backup, for each budget. */
  readonly window: number;
}

/** What came of a step of a recovery. */
export interface RecoveryAnswer {
  /** Entry in force; undefined once it is closed. */
  readonly entry: HolderEntry | undefined;
  /** Whether the recoverer that asked is the one on record. */
  readonly isAllowed: boolean;
}

/**
 * Gives the units of a row that are neither spent nor returned.
 * @param row - the row
 * @returns units that are held under the row
 */
export function heldIn(row: HolderRow): number {
  return Math.max(0, row.granted - row.spent - row.returned);
}

/**
 * Makes an incarnation the recoverer of a holder; from then on the holder's own writes fail.
 * @param shard - shard in force
 * @param holder - holder that seems to have stopped
 * @param claimant - incarnation that recovers it
 * @returns the change and the entry that is then in force
 */
export function claimRecovery(
  shard: BudgetShard,
  holder: string,
  claimant: string,
): Change<BudgetShard, RecoveryAnswer> {
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

/** Loans that the rows do not show yet: their borrowers may be using the units. */
function unrecordedLoans(row: HolderRow, passed: number): number {
  return Math.max(0, passed - totalOf(row.passed ?? []));
}

function unprovenUnits(row: HolderRow, budget: string, known: FencedState): number {
  const found = known.exposures.find((exposure) => exposure.budget === budget);
  if (!found) return known.window;
  const open = found.reservedTotal - found.releasedTotal;
  return open + unrecordedLoans(row, found.passed) + known.window;
}

function releaseBeyondHold(row: HolderRow, hold: number): HolderRow {
  const free = Math.max(0, heldIn(row) - hold);
  return { ...row, hold, returned: row.returned + free };
}

/**
 * Ends the recovery of a fenced holder whose copies have been settled: what is proved
 * unused goes back to the budgets, the rest stays held with its cause.
 * @param shard - shard in force
 * @param request - holder, its recoverer and what its backup knew
 * @returns the change and the entry that is then in force
 */
export function finishRecovery(
  shard: BudgetShard,
  request: { readonly holder: string; readonly by: string; readonly known: FencedState },
): Change<BudgetShard, RecoveryAnswer> {
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
 * Records why a silent holder cannot be recovered now; its units stay held. An active holder
 * stays active: it may only be cut off, and nothing of it has been fenced.
 * @param shard - shard in force
 * @param holder - the holder
 * @param cause - why its units stay held
 * @returns the change and the entry that is then in force
 */
export function recordCause(
  shard: BudgetShard,
  holder: string,
  cause: string,
): Change<BudgetShard, RecoveryAnswer> {
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
 * Gives back what an ending holder proves unused: nothing of it is open, and all its lines are settled.
 * Units that it has lent stay held.
 * @param shard - shard in force
 * @param holder - the holder itself, with every reservation ended
 * @param lent - units lent to other holders, for each budget
 * @returns the change and the entry that is then in force
 */
export function releaseOnShutdown(
  shard: BudgetShard,
  holder: string,
  lent: (budget: string) => number,
): Change<BudgetShard, RecoveryAnswer> {
  const entry = entryOf(shard, holder);
  const hasEntry = entry !== undefined;
  // While another incarnation recovers, acknowledged lines may still be on their way.
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

/** Units that stay held after their holder has stopped. */
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
 * Lists the units that are held under holders that have stopped or are silent.
 * @param shard - shard in force
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

/** An operator's order to give held units back to their budget. */
export interface SettleHeldRequest {
  readonly holder: string;
  readonly budget: string;
  readonly operation: string;
  readonly at: number;
}

/** What came of an operator's settlement. */
export interface SettleHeldAnswer {
  readonly known: boolean;
  /** The holder is active: its units are in use, not held. */
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
 * Gives the held units of a stopped holder back to a budget, once for each operation id.
 * Lines of the holder that are not settled by then never count.
 * @param shard - shard in force
 * @param request - the order
 * @returns the change and what came of it
 */
export function settleHeld(
  shard: BudgetShard,
  request: SettleHeldRequest,
): Change<BudgetShard, SettleHeldAnswer> {
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
  // A row that has spent more than it shows as granted still waits for the record of a loan.
  return shard.budgets.every(({ rows }) =>
    rows.every((row) => row.holder !== entry.holder || row.granted === row.spent + row.returned),
  );
}

/** Frees what came back to ended holders after their recovery, such as loans that were recorded late. */
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
 * Closes the entries and rows of ended holders that hold nothing and whose lines are all
 * in the statement; what they spent moves to "retired".
 * @param shard - shard in force
 * @param folded - highest sequence of each holder that the statement holds
 * @returns the change and the number of holders that were closed
 */
export function closeEnded(
  shard: BudgetShard,
  folded: ReadonlyMap<string, number>,
): Change<BudgetShard, number> {
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
