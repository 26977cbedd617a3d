/** Budget counters for operators. */
import { heldUnits, spentOf, unallocated } from '../budget/index.js';

import type { BudgetRecord, BudgetShard } from '../budget/index.js';
import type { BudgetDocument } from '../config/index.js';

/** Counters of a budget in units; "paid" is the sum of the others. */
export interface BudgetView {
  readonly name: string;
  readonly workspace: string;
  readonly paid: number;
  readonly spent: number;
  /** Units granted to daemons that are neither spent nor held. */
  readonly granted: number;
  /**
   * Unspent units of stopped or unresponsive holders; they stay held until a recovery or an
   * operator releases them.
   */
  readonly held: number;
  /** Units not granted to any daemon. */
  readonly left: number;
}

function viewOf(budget: BudgetRecord, held: number): BudgetView {
  const { name, workspace, paid } = budget;
  const left = unallocated(budget);
  const spent = spentOf(budget);
  return { name, workspace, paid, spent, granted: paid - left - spent - held, held, left };
}

function viewShard(shard: BudgetShard): readonly BudgetView[] {
  const held = new Map<string, number>();
  heldUnits(shard).forEach(({ budget, units }) => {
    held.set(budget, (held.get(budget) ?? 0) + units);
  });
  return shard.budgets.map((budget) => viewOf(budget, held.get(budget.name) ?? 0));
}

/**
 * Lists every budget that is published or has received a payment.
 * @param published - budgets of the current configuration
 * @param shards - all budget shards
 * @returns the budgets with their counters, sorted by name
 */
export function viewBudgets(
  published: readonly BudgetDocument[],
  shards: readonly BudgetShard[],
): readonly BudgetView[] {
  const views = shards.flatMap(viewShard);
  const known = new Set(views.map(({ name }) => name));
  const unpaid = published
    .filter(({ name }) => !known.has(name))
    .map(({ name, workspace }) => ({
      name,
      workspace,
      paid: 0,
      spent: 0,
      granted: 0,
      held: 0,
      left: 0,
    }));
  return [...views, ...unpaid].sort((a, b) => (a.name < b.name ? -1 : 1));
}
