/** Callers that retry each request with its idempotency key, through any daemon, until answered. */
import { setTimeout as delay } from 'node:timers/promises';

import { callModel } from './caller.js';
import { API_KEY } from './documents.js';

import type { ReceivedAnswer } from './caller.js';
import type { Fleet } from './fleet.js';

/** Maximum tokens of each answer. */
const ANSWER_TOKENS = 24;

/** Timeout of an attempt, in milliseconds; it limits the wait for a frozen daemon. */
const ATTEMPT_TIMEOUT_MS = 4_000;

/** Share of the attempts that are sent twice at the same time, each through a random daemon. */
const DUPLICATE_SHARE = 0.1;

/** Delay before a retry, in milliseconds. */
const RETRY_DELAY_MS = 50;

/** Callers that send requests until stopped; each request is retried until it is answered. */
export class RetryingCallers {
  /** Keys of the requests that got a complete answer or the failure code "key-settled". */
  readonly answered: string[] = [];

  #isStopped = false;

  #running: readonly Promise<void>[] = [];

  /**
   * Creates the callers.
   * @param fleet - fleet whose daemons are called
   * @param callers - number of callers, each with one request at a time
   * @param random - random numbers in [0, 1) that choose daemons and duplicated attempts
   */
  constructor(
    private readonly fleet: Fleet,
    private readonly callers: number,
    private readonly random: () => number,
  ) {}

  /** Starts the callers. */
  start(): void {
    this.#running = Array.from({ length: this.callers }, (_, caller) => this.#runCaller(caller));
  }

  /** Stops the callers, once their current requests are answered. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#running);
  }

  async #runCaller(caller: number): Promise<void> {
    for (let count = 0; !this.#isStopped; count += 1) {
      // A caller sends its next request after the previous one is answered.
      // eslint-disable-next-line no-await-in-loop
      await this.#repeatUntilAnswered(`caller-${caller}-${count}`);
    }
  }

  async #repeatUntilAnswered(key: string): Promise<void> {
    for (;;) {
      // A duplicated attempt sends the same key twice while the first request is still open.
      const isDuplicated = this.random() < DUPLICATE_SHARE;
      const attempts = [this.#attempt(key), ...(isDuplicated ? [this.#attempt(key)] : [])];
      // Each retry uses the same key and a random daemon.
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
    if (!daemon) throw new Error('no daemon of the fleet is running');
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
