/** Repeats a task after each rise of the store's era, until it succeeds. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { StoreEra } from './era.js';

/** Longest random delay before the task runs after a rise, in milliseconds: many daemons notice it together. */
const SPREAD_MS = 300;

/** Longest random delay before a failed task is repeated, in milliseconds. */
const RETRY_MS = 500;

/** Runs one task: at the start if asked to, and after each rise. */
export class AfterEachRise {
  readonly #release: () => void;

  #isRunning = false;

  #isDue = false;

  #isStopped = false;

  /**
   * Creates the runner.
   * @param era - era of the store
   * @param task - returns whether it has succeeded; must not reject
   */
  constructor(
    era: StoreEra,
    private readonly task: () => Promise<boolean>,
  ) {
    this.#release = era.onRise(() => {
      void this.run(SPREAD_MS);
    });
  }

  /**
   * Runs the task until it succeeds. A rise or a further call meanwhile makes it run once more.
   * @param spreadMs - longest random delay before the first run, in milliseconds; default none
   */
  async run(spreadMs = 0): Promise<void> {
    this.#isDue = true;
    if (this.#isRunning) return;
    this.#isRunning = true;
    if (spreadMs > 0) await sleep(Math.random() * spreadMs, undefined, { ref: false });
    while (this.#isDue && !this.#isStopped) {
      this.#isDue = false;
      // Each attempt follows the one that failed.
      // eslint-disable-next-line no-await-in-loop
      if (!(await this.task())) {
        this.#isDue = true;
        // eslint-disable-next-line no-await-in-loop
        await sleep(Math.random() * RETRY_MS, undefined, { ref: false });
      }
    }
    this.#isRunning = false;
  }

  /** Ends the runs after the current attempt. */
  stop(): void {
    this.#isStopped = true;
    this.#release();
  }
}
