/** Retry budget of a daemon: failures must not multiply the load. */

/** Retries that one request pays for; below a tenth, so that the reserve fits in. */
const RETRIES_PER_REQUEST = 0.08;

/** Retries that may be saved up, and that a fresh daemon starts with. */
const MAX_SAVED_RETRIES = 10;

/** How many retries are allowed. */
export interface RetryBudgetOptions {
  /** Retries that one request pays for. */
  readonly perRequest: number;
  /** Retries that may be saved up, and that a fresh daemon starts with. */
  readonly reserve: number;
}

/** Counts requests against retries. */
export class RetryBudget {
  #saved: number;

  #requests = 0;

  #retries = 0;

  /**
   * Creates a budget that is full.
   * @param options - how many retries are allowed
   */
  constructor(
    private readonly options: RetryBudgetOptions = {
      perRequest: RETRIES_PER_REQUEST,
      reserve: MAX_SAVED_RETRIES,
    },
  ) {
    this.#saved = options.reserve;
  }

  /** Requests so far, without their retries. */
  get requests(): number {
    return this.#requests;
  }

  /** Retries so far. */
  get retries(): number {
    return this.#retries;
  }

  /** Takes note of a request. */
  addRequest(): void {
    this.#requests += 1;
    const { perRequest, reserve } = this.options;
    this.#saved = Math.min(reserve, this.#saved + perRequest);
  }

  /**
   * Takes one retry out of the budget.
   * @returns whether the retry may be made
   */
  takeRetry(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    this.#retries += 1;
    return true;
  }
}
