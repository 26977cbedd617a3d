/** Rules of a budget shard: no version of it grants more than was paid. */
import type { Change } from '../store/index.js';
import { newHolderEntry } from './shard.js';
import type { BudgetRecord, BudgetShard, HolderRow } from './shard.js';

/** What a holder asks of a budget. */
export interface GrantRequest {
  readonly holder: string;
  readonly backup: string | null;
  readonly budget: string;
  /** What the holder believes it has drawn: a higher stored value is an earlier lost answer. */
  readonly granted: number;
  /** Least units that are of use. */
  readonly needed: number;
  /** Units asked for. */
  readonly wanted: number;
  /** The holder has entered itself before: a missing entry means that it was closed. */
  readonly entered?: boolean;
}

/** What the shard grants after a request. */
export interface GrantAnswer {
  /** Units that the holder has drawn in all, without those transferred to it. */
  readonly granted: number;
  /** Units of the budget that no row holds. */
  readonly left: number;
  readonly known: boolean;
  /** The holder may use none of its rows any more. */
  readonly fenced?: true;
}

/**
 * Gives the units of a budget that no holder has.
 * @param budget - the budget
 * @returns units that can be granted
 */
export function unallocated(budget: BudgetRecord): number {
  return budget.rows.reduce(
    (left, row) => left - (row.granted - row.returned),
    budget.paid + budget.credited - budget.retired,
  );
}

/**
 * Gives what a budget has spent, as far as charges are settled.
 * @param budget - the budget
 * @returns units
 */
export function spentOf(budget: BudgetRecord): number {
  return budget.rows.reduce((spent, row) => spent + row.spent, budget.retired - budget.credited);
}

function isFenced(shard: BudgetShard, request: GrantRequest): boolean {
  const entry = shard.holders.find(({ holder }) => holder === request.holder);
  return entry ? entry.state !== 'active' : request.entered === true;
}

/**
 * Replaces one budget of a shard.
 * @param shard - the shard
 * @param next - the budget in its new form
 * @returns the shard with it
 */
export function replaceBudget(shard: BudgetShard, next: BudgetRecord): BudgetShard {
  const budgets = shard.budgets.map((budget) => (budget.name === next.name ? next : budget));
  return { ...shard, budgets };
}

function withHolder(shard: BudgetShard, holder: string, backup: string | null): BudgetShard {
  const found = shard.holders.find((entry) => entry.holder === holder);
  if (found) return shard;
  return { ...shard, holders: [...shard.holders, newHolderEntry(holder, backup)] };
}

/**
 * Replaces the row of one holder.
 * @param budget - the budget
 * @param next - the row in its new form
 * @returns the budget with it
 */
export function withRow(budget: BudgetRecord, next: HolderRow): BudgetRecord {
  const others = budget.rows.filter((row) => row.holder !== next.holder);
  return { ...budget, rows: [...others, next] };
}

/**
 * Gives the units that a holder has drawn, without those transferred to its row.
 * @param row - the row
 * @returns units
 */
export function drawnOf(row: HolderRow): number {
  return row.granted - (row.received ?? 0);
}

/**
 * Gives the row of a holder.
 * @param budget - the budget
 * @param holder - incarnation
 * @returns its row; an empty one if it has none
 */
export function rowOf(budget: BudgetRecord, holder: string): HolderRow {
  const found = budget.rows.find((row) => row.holder === holder);
  return found ?? { holder, granted: 0, spent: 0, returned: 0 };
}

/**
 * Grants units of a budget to a holder.
 * @param shard - shard in force
 * @param request - the request
 * @returns the change of the shard and what the holder then has
 */
export function grant(shard: BudgetShard, request: GrantRequest): Change<BudgetShard, GrantAnswer> {
  const budget = shard.budgets.find(({ name }) => name === request.budget);
  if (!budget) return { kind: 'keep', outcome: { granted: 0, left: 0, known: false } };
  if (isFenced(shard, request)) {
    return { kind: 'keep', outcome: { granted: 0, left: 0, known: true, fenced: true } };
  }
  const row = rowOf(budget, request.holder);
  const left = unallocated(budget);
  const isBelowNeed = left < request.needed;
  const drawn = drawnOf(row);
  if (drawn > request.granted || isBelowNeed) {
    return { kind: 'keep', outcome: { granted: drawn, left, known: true } };
  }
  const units = Math.min(left, request.wanted);
  const next = withRow(budget, { ...row, granted: row.granted + units });
  const value = withHolder(replaceBudget(shard, next), request.holder, request.backup);
  const outcome = { granted: drawn + units, left: left - units, known: true };
  return { kind: 'write', value, outcome };
}

/** A payment, as an operator orders it. */
export interface TopUpRequest {
  readonly budget: string;
  readonly workspace: string;
  readonly operation: string;
  readonly units: number;
  readonly at: number;
}

/** What came of a payment. */
export interface TopUpAnswer {
  readonly paid: number;
  /** The operation id was known: nothing was added this time. */
  readonly repeated: boolean;
}

/**
 * Adds a payment to a budget, once for each operation id.
 * @param shard - shard in force
 * @param request - the payment
 * @returns the change of the shard and the units paid in all
 */
export function topUp(shard: BudgetShard, request: TopUpRequest): Change<BudgetShard, TopUpAnswer> {
  const found = shard.budgets.find(({ name }) => name === request.budget);
  const base: BudgetRecord = found ?? {
    name: request.budget,
    workspace: request.workspace,
    paid: 0,
    topUps: [],
    retired: 0,
    credited: 0,
    settlements: [],
    rows: [],
  };
  if (base.topUps.some(({ operation }) => operation === request.operation)) {
    return { kind: 'keep', outcome: { paid: base.paid, repeated: true } };
  }
  const entry = { operation: request.operation, units: request.units, at: request.at };
  const next = { ...base, paid: base.paid + request.units, topUps: [...base.topUps, entry] };
  const value = found
    ? replaceBudget(shard, next)
    : { ...shard, budgets: [...shard.budgets, next] };
  return { kind: 'write', value, outcome: { paid: next.paid, repeated: false } };
}
