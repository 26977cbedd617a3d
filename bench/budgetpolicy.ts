/** Base of the budget policies that are compared on the same schedules. */
import { ENTRY_DATA_CENTRES, CUT_OFF_DATA_CENTRE } from './budgetschedule.js';

import type { BenchBudget, BenchRequest } from './budgetschedule.js';

/** Result of an admission. */
export type AdmissionResult = 'admitted' | 'exhausted' | 'unreachable';

/** A policy that admits requests against prepaid budgets. */
export abstract class BudgetPolicy {
  /** Number of store calls so far. */
  storeCalls = 0;

  /** Whether the smaller data centre is cut off. */
  protected cut = false;

  /**
   * Creates a fleet of eight entries.
   * @param budgets - budgets with their initial payments
   */
  constructor(protected readonly budgets: readonly BenchBudget[]) {}

  /**
   * Starts or ends the partition.
   * @param cut - whether the smaller data centre is cut off from the store and the others
   */
  setPartitioned(cut: boolean): void {
    this.cut = cut;
  }

  /**
   * Admits or refuses a request.
   * @param entry - entry that received it
   * @param req - the request
   * @param now - time of the simulation in milliseconds
   */
  abstract admit(entry: number, req: BenchRequest, now: number): AdmissionResult;

  /**
   * Settles an admitted request.
   * @param entry - entry that admitted it
   * @param req - the request
   * @param now - time of the simulation in milliseconds
   */
  abstract settle(entry: number, req: BenchRequest, now: number): void;

  /**
   * Adds a payment.
   * @param budget - index of the budget
   * @param units - paid units
   */
  abstract topUp(budget: number, units: number): void;

  /**
   * Crashes an entry.
   * @param entry - the entry
   * @param open - its open requests
   * @returns units that become unavailable, by budget, including open reservations
   */
  abstract crash(entry: number, open: readonly BenchRequest[]): readonly number[];

  /**
   * Recovers the units of a crashed entry.
   * @param entry - the entry, replaced by a new incarnation
   * @returns units that are available again, by budget; undefined if recovery is not possible yet
   */
  abstract recover(entry: number): readonly number[] | undefined;

  /**
   * Runs periodic background work.
   * @param now - time of the simulation in milliseconds
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
