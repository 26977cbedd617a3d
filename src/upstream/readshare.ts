/**
 * Limits the share of the event loop that reading the answers of one upstream may take. The HTTP client parses everything
 * that a socket holds at once, and meanwhile nothing else runs.
 */

/**
 * Time for which an answer is read without being counted as a use of the share, in milliseconds: that of a body of about a
 * megabyte.
 */
const FREE_ANSWER_MS = 1;

/** Time that an upstream's answers may take within one turn of the event loop, in milliseconds. */
const TURN_MS = 4;

/** Time that an upstream's answers may take at once beyond what is not counted, in milliseconds. */
const BURST_MS = 4;

/** Share of the event loop for all upstreams that have used up their burst, divided equally. */
const LOOP_SHARE = 0.25;

/**
 * Largest time owed by an upstream, in milliseconds: the measured time may include a pause of the process, for which the
 * upstream is not to blame.
 */
const MAX_OWED_MS = 2 * BURST_MS;

/** Time for which an answer was read. */
export interface AnswerTime {
  /** Milliseconds since its request was sent. */
  readMs: number;
}

/** Upstreams of a daemon that divide the event loop. */
export interface LoopUse {
  /** Number of upstreams that have used up their share. */
  waiting: number;
}

/** Share of the event loop of one upstream. */
export class ReadShare {
  /** Answers that wait for the share. */
  readonly #waiting: (() => void)[] = [];

  /** Answers that wait for the next turn of the event loop. */
  readonly #waitingForTurn: (() => void)[] = [];

  /** Time that reading has taken in this turn of the event loop, in milliseconds. */
  #turnMs = 0;

  #turnEnd: NodeJS.Immediate | undefined;

  /** Time that was used beyond the share, in milliseconds. */
  #owedMs = 0;

  /** When the owed time was last reduced. */
  #reducedAt = 0;

  #timer: NodeJS.Timeout | undefined;

  /** The answer that is being read, and since when; undefined between reads. */
  #reading: { readonly answer: AnswerTime; since: number } | undefined;

  /**
   * Creates the share of an upstream that has used nothing.
   * @param use - the upstreams that divide the event loop with it
   */
  constructor(private readonly use: LoopUse = { waiting: 0 }) {}

  /**
   * Checks whether a part of an answer may be read now.
   * @param answer - the answer
   * @returns false if the upstream has used up its time in this turn of the event loop, or if the answer has been read for
   * long and the upstream has used up its share
   */
  mayRead(answer: AnswerTime): boolean {
    const now = performance.now();
    this.#countRead(now);
    if (answer.readMs < FREE_ANSWER_MS) return this.#turnMs < TURN_MS;
    this.#reduce(now);
    return this.#timer === undefined && this.#owedMs < BURST_MS;
  }

  /**
   * Records that a part of an answer is handed to the HTTP client. What is done with it until the current event of the event
   * loop has been handled is counted.
   * @param answer - the answer
   */
  startRead(answer: AnswerTime): void {
    const now = performance.now();
    if (this.#reading) this.#countRead(now);
    else queueMicrotask(() => this.#endRead());
    this.#reading = { answer, since: now };
    this.#turnEnd ??= setImmediate(() => this.#endTurn());
  }

  /**
   * Waits until an answer may be read.
   * @param answer - the answer
   * @param resume - called once it may be; answers take turns
   */
  wait(answer: AnswerTime, resume: () => void): void {
    if (answer.readMs < FREE_ANSWER_MS) {
      this.#waitingForTurn.push(resume);
      this.#turnEnd ??= setImmediate(() => this.#endTurn());
      return;
    }
    this.#waiting.push(resume);
    if (this.#timer) return;
    this.use.waiting += 1;
    this.#timer = setTimeout(() => this.#resume(), this.#owedMs / this.#share);
    this.#timer.unref();
  }

  /** Current share of the event loop, from 0 to 1. */
  get #share(): number {
    return LOOP_SHARE / Math.max(1, this.use.waiting);
  }

  #endRead(): void {
    this.#countRead(performance.now());
    this.#reading = undefined;
  }

  #countRead(now: number): void {
    if (!this.#reading) return;
    const { answer, since } = this.#reading;
    this.#reading.since = now;
    const before = answer.readMs;
    answer.readMs += now - since;
    this.#turnMs += now - since;
    const counted = answer.readMs - Math.max(before, FREE_ANSWER_MS);
    if (counted <= 0) return;
    this.#reduce(now);
    this.#owedMs = Math.min(MAX_OWED_MS, this.#owedMs + counted);
  }

  #reduce(now: number): void {
    const elapsedMs = Math.max(0, now - this.#reducedAt);
    this.#owedMs = Math.max(0, this.#owedMs - elapsedMs * this.#share);
    this.#reducedAt = now;
  }

  #endTurn(): void {
    this.#turnMs = 0;
    this.#turnEnd = undefined;
    const resumed = this.#waitingForTurn.splice(0);
    while (resumed.length > 0 && this.#turnMs < TURN_MS) {
      resumed.shift()?.();
      this.#countRead(performance.now());
    }
    this.#waitingForTurn.unshift(...resumed);
    if (resumed.length > 0) this.#turnEnd ??= setImmediate(() => this.#endTurn());
  }

  /** Resumes the waiting answers in turn, until the share is used up again. */
  #resume(): void {
    this.#timer = undefined;
    this.use.waiting -= 1;
    this.#owedMs = 0;
    this.#reducedAt = performance.now();
    const resumed = this.#waiting.splice(0);
    while (resumed.length > 0 && this.#timer === undefined) resumed.shift()?.();
    // Those whose turn has not come go before those that wait again.
    this.#waiting.unshift(...resumed);
  }
}
