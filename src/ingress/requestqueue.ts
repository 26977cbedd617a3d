/**
 * Lets requests wait for their turn, or turns them away. Answers the load of a burst on one daemon: callers that
 * have left, and connections that nobody has accepted yet, behind requests that each take a part of the processor.
 */
import type { Clock } from '../kernel/index.js';
import type { CallerConnection } from './callerconnection.js';

/**
 * Longest time for which arrivals go before requests that wait, in milliseconds: a caller's turn comes later by
 * no more than this, and in it some dozens of connections are accepted.
 */
const CONNECTION_PRIORITY_MS = 10;

/** Weight of the newest interval in the mean time between two turns: some tens of requests count. */
const INTERVAL_WEIGHT = 0.05;

/** Runs a task after the event loop has polled its sockets. */
export type Defer = (task: () => void) => void;

/** What comes of a request: it begins, its caller has left, or its time would end before its turn. */
export type QueueOutcome = 'begin' | 'left' | 'overloaded';

interface WaitingRequest {
  readonly end: (outcome: QueueOutcome) => void;
  /** Number of the turn in which it began to wait. */
  readonly since: number;
}

/**
 * Begins one request in each turn of the event loop, and only after the sockets were polled once more since it was
 * read: the end of a connection is read a turn after the last request on it.
 */
export class RequestQueue {
  /** In the order of arrival. */
  readonly #waiting = new Set<WaitingRequest>();

  #isScheduled = false;

  /** Number of the turn that is running. */
  #iteration = 0;

  /** Whether a connection was accepted since the last turn: one is accepted in a turn, others may wait. */
  #hasNewConnection = false;

  /** When a request began, or the first one began to wait, in milliseconds. */
  #lastStartAt = 0;

  /** Mean time between the beginnings of two requests while others wait, in milliseconds. */
  #meanIntervalMs = 0;

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

  /** What decides whether a request may wait, for the log. */
  get facts(): Readonly<Record<string, number>> {
    return { waiting: this.#waiting.size, intervalMs: Math.round(this.#meanIntervalMs) };
  }

  /** Takes note of a connection that was accepted. */
  accepted(): void {
    this.#hasNewConnection = true;
  }

  /**
   * Waits for the turn of a request that was read whole.
   * @param connection - its connection
   * @param leftMs - time from now until it ends unanswered, in milliseconds
   * @returns whether it begins; at once where it would not begin in that time
   */
  waitForTurn(connection: CallerConnection, leftMs: number): Promise<QueueOutcome> {
    if (this.length * this.#meanIntervalMs > leftMs) return Promise.resolve('overloaded');
    if (this.length === 0) this.#lastStartAt = this.clock.now();
    return new Promise((resolve) => {
      let unsubscribe = (): void => undefined;
      const waiting: WaitingRequest = {
        since: this.#iteration,
        end: (outcome) => {
          this.#waiting.delete(waiting);
          unsubscribe();
          resolve(outcome);
        },
      };
      this.#waiting.add(waiting);
      unsubscribe = connection.onEnd(() => waiting.end('left'));
      this.#schedule();
    });
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.defer(() => this.#runIteration());
  }

  #runIteration(): void {
    this.#isScheduled = false;
    const now = this.clock.now();
    const areConnectionsFirst =
      this.#hasNewConnection && now - this.#lastStartAt < CONNECTION_PRIORITY_MS;
    this.#hasNewConnection = false;
    const [first] = this.#waiting;
    if (first && first.since < this.#iteration && !areConnectionsFirst) {
      this.#meanIntervalMs += (now - this.#lastStartAt - this.#meanIntervalMs) * INTERVAL_WEIGHT;
      this.#lastStartAt = now;
      first.end('begin');
    }
    this.#iteration += 1;
    if (this.length > 0) this.#schedule();
  }
}
