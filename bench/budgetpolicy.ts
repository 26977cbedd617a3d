/** A way to admit requests against prepaid budgets; several are compared over the same schedules. */
import { ENTRY_DATA_CENTRES, CUT_OFF_DATA_CENTRE } from './budgetschedule.js';

import type { BenchBudget, BenchRequest } from './budgetschedule.js';

/** What became of a request. */
export type AdmissionResult = 'admitted' | 'exhausted' | 'unreachable';

/** One way to admit requests. */
export abstract class BudgetPolicy {
  /** Calls to the store so far. */
  storeCalls = 0;

  /** Whether the smaller data centre is cut off. */
  protected cut = false;

  /**
   * Creates a fleet of eight entries.
   * @param budgets - budgets as paid at the beginning
   */
  constructor(protected readonly budgets: readonly BenchBudget[]) {}

  /**
   * Switches the partition.
   * @param cut - whether the smaller data centre is cut off, from the store too
   */
  setPartitioned(cut: boolean): void {
    this.cut = cut;
  }

  /**
   * Admits or refuses a request.
   * @param entry - entry that it reached
   * @param req - the request
   * @param now - milliseconds
   */
  abstract admit(entry: number, req: BenchRequest, now: number): AdmissionResult;

  /**
   * Settles a request that was admitted.
   * @param entry - its entry
   * @param req - the request
   * @param now - milliseconds
   */
  abstract settle(entry: number, req: BenchRequest, now: number): void;

  /**
   * Adds a payment.
   * @param budget - position of the budget
   * @param units - units
   */
  abstract topUp(budget: number, units: number): void;

  /**
   * Lets an entry die.
   * @param entry - the entry
   * @param open - its open requests
   * @returns units out of reach, by budget, open reservations included
   */
  abstract crash(entry: number, open: readonly BenchRequest[]): readonly number[];

  /**
   * Takes over from a dead entry.
   * @param entry - the entry, replaced by a fresh incarnation
   * @returns units that are free again, by budget; undefined if it is not possible yet
   */
  abstract recover(entry: number): readonly number[] | undefined;

  /**
   * Does background work.
   * @param now - milliseconds
   */
  tick(now: number): void {
    void now;
  }

  /** Whether an entry is cut off from the store and the other data centres. */
  protected isCutOff(entry: number): boolean {
    return this.cut && ENTRY_DATA_CENTRES[entry] === CUT_OFF_DATA_CENTRE;
  }

  /** Whether two entries reach each other. */
  protected reaches(a: number, b: number): boolean {
    return this.isCutOff(a) === this.isCutOff(b);
  }
}
