/**
 * Queues requests before they are served, and rejects those that would wait too long. During a burst of requests on
 * one daemon, requests whose callers have disconnected are not served, and new connections are accepted between
 * requests, each of which needs processor time.
 */
import type { Clock } from '../kernel/index.js';
import type { CallerConnection } from './callerconnection.js';

/**
 * Longest time for which new connections take precedence over queued requests, in milliseconds. It bounds the
 * additional wait of a request, and suffices to accept some dozens of connections.
 */
const CONNECTION_PRIORITY_MS = 10;

/**
 * Weight of the newest interval in the moving average of the time between the starts of two requests; with
 * this weight the average covers some tens of requests.
 */
const INTERVAL_WEIGHT = 0.05;

/** Schedules a task to run once the event loop has next polled its sockets. */
export type Defer = (task: () => void) => void;

/**
 * Outcome of queueing a request: it is served now, its caller has disconnected, its deadline would pass in the queue,
 * or the queue was stopped.
 */
export type QueueOutcome = 'begin' | 'left' | 'overloaded' | 'stopped';

interface WaitingRequest {
  readonly connection: CallerConnection;
  readonly end: (outcome: QueueOutcome) => void;
}

/**
 * Starts at most one request in each iteration of the event loop. A request starts only after the sockets have been
 * polled once more since it was read: if its caller has closed the connection behind it, the end of the connection
 * is read one iteration after the request.
 */
export class RequestQueue {
  /** Queued requests, in the order of arrival, each with the number of the iteration in which it was queued. */
  readonly #waiting = new Map<WaitingRequest, number>();

  /** Requests that were taken out until it is known whether their callers have left. */
  readonly #suspended = new Set<WaitingRequest>();

  #isScheduled = false;

  #isStopped = false;

  /** Number of the current event loop iteration; counted only while requests are queued. */
  #iteration = 0;

  /**
   * Whether a connection was accepted since the last iteration. Only one is accepted in each iteration, so
   * more connections may be pending.
   */
  #hasNewConnection = false;

  /** Time at which the last request started, or at which one entered the empty queue, in milliseconds. */
  #lastStartAt = 0;

  /** Moving average of the time between two starts while requests are queued, in milliseconds. */
  #meanIntervalMs = 0;

  /**
   * Creates an empty queue.
   * @param clock - steady clock
   * @param defer - schedules the next iteration
   */
  constructor(
    private readonly clock: Clock,
    private readonly defer: Defer = setImmediate,
  ) {}

  /** Number of queued requests. */
  get length(): number {
    return this.#waiting.size;
  }

  /** Time for which a request that arrives now would wait for its turn, in milliseconds. */
  get expectedWaitMs(): number {
    return this.#waiting.size * this.#meanIntervalMs;
  }

  /** Values that decide whether a request is queued or rejected, for the log. */
  get facts(): Readonly<Record<string, number>> {
    return { waiting: this.#waiting.size, intervalMs: Math.round(this.#meanIntervalMs) };
  }

  /** Records that a connection was accepted. */
  accepted(): void {
    this.#hasNewConnection = true;
  }

  /**
   * Queues a request that was read completely.
   * @param connection - its connection
   * @param leftMs - time left until the deadline of the request, in milliseconds
   * @returns the outcome; "overloaded" at once if the request is not expected to start within that time
   */
  waitForTurn(connection: CallerConnection, leftMs: number): Promise<QueueOutcome> {
    if (this.#isStopped) return Promise.resolve('stopped');
    if (this.expectedWaitMs > leftMs) return Promise.resolve('overloaded');
    return new Promise((resolve) => {
      const unsubscribe: (() => void)[] = [];
      const waiting: WaitingRequest = {
        connection,
        end: (outcome) => {
          this.#waiting.delete(waiting);
          this.#suspended.delete(waiting);
          unsubscribe.forEach((remove) => remove());
          resolve(outcome);
        },
      };
      this.#add(waiting);
      // A request that comes to its turn while it is not known whether its caller has left is taken out until then.
      unsubscribe.push(connection.onHalfClosed(() => this.#add(waiting)));
      unsubscribe.push(connection.onEnd(() => waiting.end('left')));
    });
  }

  /** Ends the wait of all requests, and of later ones at once. */
  stop(): void {
    this.#isStopped = true;
    [...this.#waiting.keys(), ...this.#suspended].forEach(({ end }) => end('stopped'));
  }

  #add(waiting: WaitingRequest): void {
    if (this.length === 0) this.#lastStartAt = this.clock.now();
    this.#suspended.delete(waiting);
    this.#waiting.set(waiting, this.#iteration);
    this.#schedule();
  }

  /** Takes out the requests before the first one that may begin whose callers may have left. */
  #suspendUnclear(): void {
    for (const [waiting] of this.#waiting) {
      if (!waiting.connection.isUnclear) return;
      this.#waiting.delete(waiting);
      this.#suspended.add(waiting);
    }
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
    this.#suspendUnclear();
    const [[first, since] = []] = this.#waiting;
    if (first && since !== undefined && since < this.#iteration && !areConnectionsFirst) {
      this.#meanIntervalMs += (now - this.#lastStartAt - this.#meanIntervalMs) * INTERVAL_WEIGHT;
      this.#lastStartAt = now;
      first.end('begin');
    }
    this.#iteration += 1;
    if (this.length > 0) this.#schedule();
  }
}
