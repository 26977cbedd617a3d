/**
 * Lets requests wait for their turn. Answers the load of a burst on one daemon: callers that have left, and
 * connections that nobody has accepted yet, behind requests that each take a part of the processor.
 */
import type { Clock } from '../kernel/index.js';
import type { CallerConnection } from './callerconnection.js';

/**
 * Longest time for which arrivals go before requests that wait, in milliseconds: a caller's turn comes later by
 * no more than this, and in it some dozens of connections are accepted.
 */
const ARRIVALS_FIRST_MS = 10;

/** Runs a task after the event loop has polled its sockets. */
export type Defer = (task: () => void) => void;

interface Waiting {
  readonly begin: (isWanted: boolean) => void;
  /** Number of the turn in which it began to wait. */
  readonly since: number;
}

/**
 * Begins one request in each turn of the event loop, and only after the sockets were polled once more since it
 * was read: the end of a connection is read a turn after the last request on it.
 */
export class Intake {
  /** In the order of arrival. */
  readonly #waiting = new Set<Waiting>();

  #isScheduled = false;

  /** Number of the turn that is running. */
  #turn = 0;

  /** Whether a connection was accepted since the last turn: one is accepted in a turn, others may wait. */
  #hasAccepted = false;

  /** When a request began, or the first one began to wait, in milliseconds. */
  #begunAt = 0;

  /**
   * Creates an empty intake.
   * @param clock - steady clock
   * @param defer - runs the turns
   */
  constructor(
    private readonly clock: Clock,
    private readonly defer: Defer = setImmediate,
  ) {}

  /** Requests that wait. */
  get length(): number {
    return this.#waiting.size;
  }

  /** Takes note of a connection that was accepted. */
  accepted(): void {
    this.#hasAccepted = true;
  }

  /**
   * Waits for the turn of a request that was read whole.
   * @param connection - its connection
   * @returns whether the caller is still there
   */
  turn(connection: CallerConnection): Promise<boolean> {
    return new Promise((resolve) => {
      let forget = (): void => undefined;
      const waiting: Waiting = {
        since: this.#turn,
        begin: (isWanted) => {
          this.#waiting.delete(waiting);
          forget();
          resolve(isWanted);
        },
      };
      if (this.#waiting.size === 0) this.#begunAt = this.clock.now();
      this.#waiting.add(waiting);
      forget = connection.onEnd(() => waiting.begin(false));
      this.#schedule();
    });
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.defer(() => this.#run());
  }

  #run(): void {
    this.#isScheduled = false;
    const now = this.clock.now();
    const areArrivalsFirst = this.#hasAccepted && now - this.#begunAt < ARRIVALS_FIRST_MS;
    this.#hasAccepted = false;
    const [first] = this.#waiting;
    if (first && first.since < this.#turn && !areArrivalsFirst) {
      this.#begunAt = now;
      first.begin(true);
    }
    this.#turn += 1;
    if (this.#waiting.size > 0) this.#schedule();
  }
}
