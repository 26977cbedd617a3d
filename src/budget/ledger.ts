/** Updates of a budget shard; no version of it grants more units than were paid. */
import type { UpdateDecision } from '../store/index.js';
import { newHolderEntry } from './shard.js';
import type { BudgetRecord, BudgetShard, HolderRow } from './shard.js';

/** Request of a holder for units of a budget. */
export interface GrantRequest {
  readonly holder: string;
  readonly backup: string | null;
  readonly budget: string;
  /**
   * Units drawn so far as the holder knows; a higher stored value comes from a grant whose answer
   * was lost.
   */
  readonly granted: number;
  /** Minimum number of units; if fewer are left, none are granted. */
  readonly needed: number;
  /** Requested number of units. */
  readonly wanted: number;
  /**
   * Whether the holder has joined the shard before; a missing entry then means that it was closed.
   */
  readonly entered?: boolean;
}

/** Result of a grant request. */
export interface GrantAnswer {
  /** Total units that the holder has drawn, without those transferred to its row. */
  readonly granted: number;
  /** Units of the budget that are not allocated to a row. */
  readonly left: number;
  /** Whether the budget exists in the shard. */
  readonly known: boolean;
  /** The holder is fenced: it must not use any of its rows. */
  readonly fenced?: true;
}

/**
 * Returns the units of a budget that are not allocated to a row.
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
 * Returns the spent units of a budget according to the settled charges.
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
 * @param next - new version of the budget
 * @returns the updated shard
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
 * @param next - new version of the row
 * @returns the updated budget
 */
export function withRow(budget: BudgetRecord, next: HolderRow): BudgetRecord {
  const others = budget.rows.filter((row) => row.holder !== next.holder);
  return { ...budget, rows: [...others, next] };
}

/**
 * Returns the units that a holder has drawn from the store, without those transferred to its row.
 * @param row - the row
 * @returns units
 */
export function drawnOf(row: HolderRow): number {
  return row.granted - (row.received ?? 0);
}

/**
 * Returns the row of a holder.
 * @param budget - the budget
 * @param holder - incarnation of the holder
 * @returns its row; an empty one if it has none
 */
export function rowOf(budget: BudgetRecord, holder: string): HolderRow {
  const found = budget.rows.find((row) => row.holder === holder);
  return found ?? { holder, granted: 0, spent: 0, returned: 0 };
}

/**
 * Grants units of a budget to a holder.
 * @param shard - current shard
 * @param request - the request
 * @returns the change of the shard and the resulting grant
 */
export function grant(
  shard: BudgetShard,
  request: GrantRequest,
): UpdateDecision<BudgetShard, GrantAnswer> {
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

/** A payment ordered by an operator. */
export interface TopUpRequest {
  readonly budget: string;
  readonly workspace: string;
  readonly operation: string;
  readonly units: number;
  readonly at: number;
}

/** Result of a payment. */
export interface TopUpAnswer {
  /** Total units paid into the budget. */
  readonly paid: number;
  /** Whether the operation id was used before; a repeat adds no units. */
  readonly repeated: boolean;
}

/**
 * Adds a payment to a budget, once for each operation id.
 * @param shard - current shard
 * @param request - the payment
 * @returns the change of the shard and the total units paid
 */
export function topUp(
  shard: BudgetShard,
  request: TopUpRequest,
): UpdateDecision<BudgetShard, TopUpAnswer> {
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
