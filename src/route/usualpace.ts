/** What is usual for the upstreams of a service: the mean of all their answers and statements. */

/** Work that an answer contains whatever the request, in milliseconds; differences below it are noise. */
export const LEAST_WORK_MS = 20;

/** Weight of an answer in what is usual for the service, once there are many. */
const USUAL_WEIGHT = 0.02;

/** Means over all upstreams of a service. */
export class UsualPace {
  #samples = 0;

  /** Mean logarithm of the ratio of the times taken and expected. */
  #logRatio = 0;

  /** Mean of the stated paces, as a factor. */
  #stated = 1;

  #statements = 0;

  /** Logarithm of the usual ratio of the times taken and expected. */
  get logRatio(): number {
    return this.#logRatio;
  }

  /** Usual stated pace, as a factor; 1 before the first statement. */
  get stated(): number {
    return this.#stated;
  }

  /** Usual time until an answer to a request of unknown size begins, in milliseconds; 0 before the first answer. */
  get answerMs(): number {
    return this.#samples === 0 ? 0 : Math.max(0, LEAST_WORK_MS * (Math.exp(this.#logRatio) - 1));
  }

  /**
   * Adds an answer.
   * @param logRatio - logarithm of the ratio of the times taken and expected
   */
  addAnswer(logRatio: number): void {
    this.#samples += 1;
    this.#logRatio += (logRatio - this.#logRatio) * Math.max(USUAL_WEIGHT, 1 / this.#samples);
  }

  /**
   * Adds a statement.
   * @param factor - stated pace, as a factor
   */
  addStated(factor: number): void {
    this.#statements += 1;
    this.#stated += (factor - this.#stated) * Math.max(USUAL_WEIGHT, 1 / this.#statements);
  }
}
