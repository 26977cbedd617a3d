/** Baseline budget policy: a fixed equal split. */
import { BudgetPolicy } from './budgetpolicy.js';
import { ENTRY_DATA_CENTRES } from './budgetschedule.js';

import type { AdmissionResult } from './budgetpolicy.js';
import type { BenchBudget, BenchRequest } from './budgetschedule.js';

/** Splits every payment equally between the entries; units never move between entries. */
export class FixedSplit extends BudgetPolicy {
  readonly #left: number[][];

  /**
   * Splits the budgets.
   * @param budgets - budgets with their initial payments
   */
  constructor(budgets: readonly BenchBudget[]) {
    super(budgets);
    this.#left = ENTRY_DATA_CENTRES.map(() =>
      budgets.map(({ paid }) => Math.floor(paid / ENTRY_DATA_CENTRES.length)),
    );
  }

  override admit(entry: number, { budget, worstCase }: BenchRequest): AdmissionResult {
    const left = this.#left[entry]?.[budget] ?? 0;
    if (left < worstCase) return 'exhausted';
    this.#add(entry, budget, -worstCase);
    return 'admitted';
  }

  override settle(entry: number, { budget, worstCase, used }: BenchRequest): void {
    this.#add(entry, budget, worstCase - used);
  }

  override topUp(budget: number, units: number): void {
    ENTRY_DATA_CENTRES.forEach((_, entry) => {
      this.#add(entry, budget, Math.floor(units / ENTRY_DATA_CENTRES.length));
    });
  }

  override crash(entry: number, open: readonly BenchRequest[]): readonly number[] {
    return this.budgets.map((_, budget) => {
      const reserved = open
        .filter((req) => req.budget === budget)
        .reduce((sum, { worstCase }) => sum + worstCase, 0);
      return (this.#left[entry]?.[budget] ?? 0) + reserved;
    });
  }

  override recover(entry: number): readonly number[] {
    return [...(this.#left[entry] ?? [])];
  }

  #add(entry: number, budget: number, units: number): void {
    const row = this.#left[entry];
    if (row) row[budget] = (row[budget] ?? 0) + units;
  }
}
