/** Updates of a holder's entry in a shard: joining, backups and the settlement of charge lines. */
import { newHolderEntry } from './shard.js';

import type { UpdateDecision } from '../store/index.js';
import type { ChargeLine } from './charge.js';
import type { BudgetRecord, BudgetShard, HolderEntry, HolderRow } from './shard.js';

/** Result of a change that only the authorised writer of an entry may make. */
export interface EntryAnswer {
  /** Highest sequence of the holder's settled lines. */
  readonly settled: number;
  /** Backup on record. */
  readonly backup: string | null;
  /** Standby on record. */
  readonly standby: string | null;
  /** Whether the writer was refused because it is not, or no longer, authorised. */
  readonly fenced: boolean;
}

/**
 * Finds the entry of a holder.
 * @param shard - current shard
 * @param holder - incarnation of the holder
 * @returns the entry; undefined before the holder joins and after its entry is closed
 */
export function entryOf(shard: BudgetShard, holder: string): HolderEntry | undefined {
  return shard.holders.find((entry) => entry.holder === holder);
}

/**
 * Replaces the entry of a holder.
 * @param shard - current shard
 * @param next - new version of the entry
 * @returns the updated shard
 */
export function withEntry(shard: BudgetShard, next: HolderEntry): BudgetShard {
  const holders = shard.holders.map((entry) => (entry.holder === next.holder ? next : entry));
  return { ...shard, holders };
}

/**
 * Changes the rows of one holder in every budget of a shard.
 * @param shard - current shard
 * @param holder - incarnation of the holder
 * @param change - returns the new version of a row
 * @returns the updated shard
 */
export function mapRows(
  shard: BudgetShard,
  holder: string,
  change: (row: HolderRow, budget: BudgetRecord) => HolderRow,
): BudgetShard {
  const budgets = shard.budgets.map((budget) => {
    if (!budget.rows.some((row) => row.holder === holder)) return budget;
    const rows = budget.rows.map((row) => (row.holder === holder ? change(row, budget) : row));
    return { ...budget, rows };
  });
  return { ...shard, budgets };
}

function entryAnswer(entry: HolderEntry | undefined, fenced: boolean): EntryAnswer {
  const { settled = 0, backup = null, standby = null } = entry ?? {};
  return { settled, backup, standby, fenced };
}

/** Backup and standby that a holder records. */
export interface BackupRecord {
  readonly holder: string;
  readonly backup: string | null;
  /** Incarnation that receives copies while the backup does not answer. */
  readonly standby?: string | null;
  /**
   * Whether the holder has joined the shard before; a missing entry then means that it was closed.
   */
  readonly joined: boolean;
}

/**
 * Creates the entry of a holder that joins the shard, or records another backup in it.
 * Every line that is not settled must have been copied to the new backup first.
 * @param shard - current shard
 * @param request - holder, backup and standby
 * @returns the change and the resulting entry
 */
export function recordBackup(
  shard: BudgetShard,
  request: BackupRecord,
): UpdateDecision<BudgetShard, EntryAnswer> {
  const { backup, standby = null } = request;
  const entry = entryOf(shard, request.holder);
  if (!entry && request.joined) return { kind: 'keep', outcome: entryAnswer(entry, true) };
  if (!entry) {
    const created = { ...newHolderEntry(request.holder, backup), standby };
    const value = { ...shard, holders: [...shard.holders, created] };
    return { kind: 'write', value, outcome: entryAnswer(created, false) };
  }
  if (entry.state !== 'active') return { kind: 'keep', outcome: entryAnswer(entry, true) };
  if (entry.backup === backup && entry.standby === standby) {
    return { kind: 'keep', outcome: entryAnswer(entry, false) };
  }
  const next = { ...entry, backup, standby, cause: '' };
  return { kind: 'write', value: withEntry(shard, next), outcome: entryAnswer(next, false) };
}

/**
 * Records a heartbeat of a holder that reaches the store but not every peer.
 * @param shard - current shard
 * @param holder - incarnation of the holder
 * @returns the change and the resulting entry
 */
export function recordHeartbeat(
  shard: BudgetShard,
  holder: string,
): UpdateDecision<BudgetShard, EntryAnswer> {
  const entry = entryOf(shard, holder);
  if (!entry || entry.state !== 'active')
    return { kind: 'keep', outcome: entryAnswer(entry, true) };
  const next = { ...entry, beat: entry.beat + 1, cause: '' };
  return { kind: 'write', value: withEntry(shard, next), outcome: entryAnswer(next, false) };
}

/**
 * Returns whether an incarnation may settle lines of a holder.
 * @param entry - the holder's entry
 * @param by - incarnation that writes the lines
 * @returns true for an active holder itself and for the recoverer on record
 */
export function maySettle(entry: HolderEntry, by: string): boolean {
  if (entry.state === 'active') return by === entry.holder;
  return entry.state === 'recovering' && by === entry.recoverer;
}

/** Lines of one holder and the incarnation that writes them. */
export interface Delivery {
  readonly holder: string;
  /** Incarnation that writes the lines: the holder itself or its recoverer. */
  readonly by: string;
  /** Lines in ascending order of their sequence. */
  readonly lines: readonly ChargeLine[];
}

function spentIn(lines: readonly ChargeLine[], budget: string): number {
  return lines.filter((line) => line.budget === budget).reduce((sum, line) => sum + line.units, 0);
}

function chargeRow(
  budget: BudgetRecord,
  holder: string,
  lines: readonly ChargeLine[],
): BudgetRecord {
  const units = spentIn(lines, budget.name);
  if (units === 0) return budget;
  const found = budget.rows.find((row) => row.holder === holder);
  const row = found ?? { holder, granted: 0, spent: 0, returned: 0 };
  const others = budget.rows.filter((other) => other !== found);
  return { ...budget, rows: [...others, { ...row, spent: row.spent + units }] };
}

/**
 * Settles the lines of one holder: adds them to the spent units of its rows and raises its settled
 * sequence. Lines up to the settled sequence are ignored, so lines may be delivered repeatedly.
 * @param shard - current shard
 * @param delivery - the lines and the incarnation that writes them
 * @returns the change of the shard and the resulting entry
 */
export function settle(
  shard: BudgetShard,
  delivery: Delivery,
): UpdateDecision<BudgetShard, EntryAnswer> {
  const { holder, by, lines } = delivery;
  const entry = entryOf(shard, holder);
  if (!entry || !maySettle(entry, by)) return { kind: 'keep', outcome: entryAnswer(entry, true) };
  const newLines = lines.filter(({ sequence }) => sequence > entry.settled);
  const last = newLines.at(-1);
  if (!last) return { kind: 'keep', outcome: entryAnswer(entry, false) };
  // An active holder that writes its own lines is running, so a cause recorded earlier is cleared.
  const cause = entry.state === 'active' ? '' : entry.cause;
  const next = { ...entry, settled: last.sequence, cause };
  const budgets = shard.budgets.map((budget) => chargeRow(budget, holder, newLines));
  const charged = { ...shard, budgets };
  return { kind: 'write', value: withEntry(charged, next), outcome: entryAnswer(next, false) };
}
