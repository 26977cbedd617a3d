/** Baseline budget policy: conditional store writes for each request. */
import { BudgetPolicy } from './budgetpolicy.js';

import type { AdmissionResult } from './budgetpolicy.js';
import type { BenchBudget, BenchRequest } from './budgetschedule.js';

/** Writes per second that the store accepts from the whole fleet. */
const WRITES_PER_SECOND = 400;

/** Reserves units for each request by one conditional store write, and settles by another. */
export class WritePerRequest extends BudgetPolicy {
  readonly #left: number[];

  #second = 0;

  #writes = 0;

  /**
   * Creates the budgets.
   * @param budgets - budgets with their initial payments
   */
  constructor(budgets: readonly BenchBudget[]) {
    super(budgets);
    this.#left = budgets.map(({ paid }) => paid);
  }

  override admit(entry: number, { budget, worstCase }: BenchRequest, now: number): AdmissionResult {
    if (this.isCutOff(entry) || !this.#write(now)) return 'unreachable';
    const left = this.#left[budget] ?? 0;
    if (left < worstCase) return 'exhausted';
    this.#left[budget] = left - worstCase;
    return 'admitted';
  }

  override settle(_entry: number, req: BenchRequest, now: number): void {
    this.#write(now);
    this.#left[req.budget] = (this.#left[req.budget] ?? 0) + req.worstCase - req.used;
  }

  override topUp(budget: number, units: number): void {
    this.#left[budget] = (this.#left[budget] ?? 0) + units;
  }

  override crash(_entry: number, open: readonly BenchRequest[]): readonly number[] {
    return this.budgets.map((_, budget) =>
      open
        .filter((req) => req.budget === budget)
        .reduce((sum, { worstCase }) => sum + worstCase, 0),
    );
  }

  override recover(): readonly number[] {
    return this.budgets.map(() => 0);
  }

  #write(now: number): boolean {
    const second = Math.floor(now / 1_000);
    if (second !== this.#second) {
      this.#second = second;
      this.#writes = 0;
    }
    this.#writes += 1;
    this.storeCalls += 2;
    return this.#writes <= WRITES_PER_SECOND;
  }
}
