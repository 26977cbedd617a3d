/**
 * Timers for decisions about something that has not arrived. After a stall of the process, due timers run before the
 * sockets are polled, while data that arrived during the stall is still unread.
 */

/** Calls back once a time has passed and the sockets have been polled since; not after it was cleared. */
export class PolledTimer {
  readonly #timer: NodeJS.Timeout;

  #immediate: NodeJS.Immediate | undefined;

  /**
   * Starts the timer.
   * @param delayMs - time, in milliseconds
   * @param callback - called at most once
   */
  constructor(
    delayMs: number,
    private readonly callback: () => void,
  ) {
    this.#timer = setTimeout(PolledTimer.#poll, Math.max(0, delayMs), this);
  }

  /** Whether the time has passed, also before the callback is called. */
  get isDue(): boolean {
    return this.#immediate !== undefined;
  }

  /** Calls back again after the next poll of the sockets; for use in the callback. */
  pollAgain(): void {
    this.#immediate = setImmediate(this.callback);
  }

  /** Cancels the timer, also if it is due and has not called back. */
  clear(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }

  /**
   * Lets the process end before the timer is due.
   * @returns the timer
   */
  unref(): this {
    this.#timer.unref();
    return this;
  }

  /** Immediates run after the sockets were polled. */
  static #poll(this: void, timer: PolledTimer): void {
    // eslint-disable-next-line no-param-reassign
    timer.#immediate = setImmediate(timer.callback);
  }
}

/**
 * Waits for a time.
 * @param delayMs - the time, in milliseconds
 * @returns resolves once the time has passed and the sockets have been polled since
 */
export function polledDelay(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    // eslint-disable-next-line no-new
    new PolledTimer(delayMs, resolve);
  });
}

/**
 * Waits for a promise, but not longer than a time and a poll of the sockets after it.
 * @param promise - what is waited for
 * @param limitMs - the time, in milliseconds
 * @returns its value; undefined if the time has passed
 */
export async function waitAtMost<Value>(
  promise: Promise<Value>,
  limitMs: number,
): Promise<Value | undefined> {
  let timer: PolledTimer | undefined;
  const limit = new Promise<undefined>((resolve) => {
    timer = new PolledTimer(limitMs, () => resolve(undefined));
  });
  try {
    return await Promise.race([promise, limit]);
  } finally {
    timer?.clear();
  }
}

/**
 * Creates a signal that limits the time of an exchange; it does not keep the process alive.
 * @param limitMs - the time, in milliseconds
 * @returns signal that is aborted once the time has passed and the sockets have been polled since
 */
export function timeLimitSignal(limitMs: number): AbortSignal {
  const controller = new AbortController();
  const abort = (): void => {
    controller.abort(new DOMException(`no answer within ${limitMs} ms`, 'TimeoutError'));
  };
  new PolledTimer(limitMs, abort).unref();
  return controller.signal;
}
