/** Callers that repeat each request with its key, through any daemon, until it is answered. */
import { setTimeout as delay } from 'node:timers/promises';

import { callModel } from './caller.js';
import { API_KEY } from './documents.js';

import type { ReceivedAnswer } from './caller.js';
import type { Fleet } from './fleet.js';

/** Tokens of each answer. */
const ANSWER_TOKENS = 24;

/** Longest attempt, in milliseconds; a frozen daemon does not hold a caller for longer. */
const ATTEMPT_TIMEOUT_MS = 4_000;

/** Share of the attempts that two daemons get at the same time. */
const DUPLICATE_SHARE = 0.1;

/** Pause before a repeat, in milliseconds. */
const RETRY_DELAY_MS = 50;

/** Callers that go on until they are stopped, each repeating its key until it is answered. */
export class RetryingCallers {
  /** Keys of the requests that were answered whole. */
  readonly answered: string[] = [];

  #isStopped = false;

  #running: readonly Promise<void>[] = [];

  /**
   * Creates the callers.
   * @param fleet - daemons that they call
   * @param callers - number of callers, each with one request at a time
   * @param random - chooses the daemon of each attempt
   */
  constructor(
    private readonly fleet: Fleet,
    private readonly callers: number,
    private readonly random: () => number,
  ) {}

  /** Begins to send. */
  start(): void {
    this.#running = Array.from({ length: this.callers }, (_, caller) => this.#runCaller(caller));
  }

  /** Ends after the answers to the open requests. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#running);
  }

  async #runCaller(caller: number): Promise<void> {
    for (let count = 0; !this.#isStopped; count += 1) {
      // A caller sends its next request after the answer to the last one.
      // eslint-disable-next-line no-await-in-loop
      await this.#repeatUntilAnswered(`caller-${caller}-${count}`);
    }
  }

  async #repeatUntilAnswered(key: string): Promise<void> {
    for (;;) {
      // An impatient caller repeats its key through another daemon while the first still answers.
      const isDuplicated = this.random() < DUPLICATE_SHARE;
      const attempts = [this.#attempt(key), ...(isDuplicated ? [this.#attempt(key)] : [])];
      // A repeat goes through any daemon, with the same key.
      // eslint-disable-next-line no-await-in-loop
      const answers = await Promise.all(attempts);
      if (answers.some(({ isComplete: whole, code }) => whole || code === 'key-settled')) {
        this.answered.push(key);
        return;
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(RETRY_DELAY_MS);
    }
  }

  #attempt(key: string): Promise<ReceivedAnswer> {
    const running = this.fleet.daemons.filter(({ child }) => child.running);
    const daemon = running[Math.floor(this.random() * running.length)];
    if (!daemon) throw new Error('no daemon is left');
    return callModel({
      url: daemon.url,
      apiKey: API_KEY,
      model: 'drafts',
      prompt: `manifest ${key}`,
      maxTokens: ANSWER_TOKENS,
      key,
      signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
    });
  }
}
