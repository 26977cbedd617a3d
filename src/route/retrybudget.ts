/** Retry budget of a daemon; prevents retries from multiplying the load during failures. */

/** Retries earned per request; below 0.1, so that the total with the reserve stays near a tenth. */
const RETRIES_PER_REQUEST = 0.08;

/** Maximum number of accumulated retries, and the number that a started daemon begins with. */
const MAX_SAVED_RETRIES = 10;

/** Limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned per request. */
  readonly perRequest: number;
  /** Maximum number of accumulated retries, which is also the initial number. */
  readonly reserve: number;
}

const DEFAULT_LIMITS: RetryBudgetOptions = {
  perRequest: RETRIES_PER_REQUEST,
  reserve: MAX_SAVED_RETRIES,
};

/** Token bucket of retries: requests fill it, retries drain it. */
export class RetryBudget {
  #saved: number;

  #requests = 0;

  #retries = 0;

  /**
   * Creates a full budget.
   * @param limits - returns the current limits of the budget; they may change with the fleet
   */
  constructor(private readonly limits: () => RetryBudgetOptions = () => DEFAULT_LIMITS) {
    this.#saved = limits().reserve;
  }

  /** Requests recorded so far, without retries. */
  get requests(): number {
    return this.#requests;
  }

  /** Retries granted so far. */
  get retries(): number {
    return this.#retries;
  }

  /** Records a request, which earns a fraction of a retry. */
  addRequest(): void {
    this.#requests += 1;
    const { perRequest, reserve } = this.limits();
    this.#saved = Math.min(reserve, this.#saved + perRequest);
  }

  /**
   * Takes one retry from the budget, if available.
   * @returns whether the retry is granted
   */
  takeRetry(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    this.#retries += 1;
    return true;
  }

  /** Returns a retry that was granted and not sent. */
  returnRetry(): void {
    this.#saved = Math.min(this.limits().reserve, this.#saved + 1);
    this.#retries -= 1;
  }
}
