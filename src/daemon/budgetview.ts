/** Budgets as operators see them. */
import { heldUnits, spentOf, unallocated } from '../budget/index.js';

import type { BudgetRecord, BudgetShard } from '../budget/index.js';
import type { BudgetDocument } from '../config/index.js';

/** A budget as operators see it; "paid" is the sum of the other counters. */
export interface BudgetView {
  readonly name: string;
  readonly workspace: string;
  readonly paid: number;
  readonly spent: number;
  /** Units that running daemons hold and have not spent. */
  readonly granted: number;
  /** Units that stay held after a daemon was lost, until an operator settles them. */
  readonly held: number;
  /** Units that no daemon holds. */
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
 * Lists every budget that is published or was ever paid into.
 * @param published - budgets in force
 * @param shards - shards of the store
 * @returns the budgets with their counters, by name
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
