/**
 * Bounds the requests that callers send ahead of their answers: connections with too many of them are not read, and
 * none is read while all connections together have too many.
 */

/** Number of unanswered requests of one connection from which it is not read. */
const MAX_AHEAD = 32;

/** Share of the limit on unanswered requests below which the connections are read again. */
const RESUME_SHARE = 0.8;

/** Connection that can be held back. */
export interface ReadableConnection {
  /** Stops reading. */
  pause(): unknown;
  /** Reads on. */
  resume(): unknown;
}

/** Numbers of unanswered requests. */
export interface UnansweredState {
  /** On the connection. */
  readonly own: number;
  /** On all connections. */
  readonly all: number;
  /** Number on all connections from which none is read. */
  readonly limit: number;
  /** Whether no connection is read at present. */
  readonly isFull: boolean;
}

/**
 * Decides whether no connection is read, as all of them together have too many unanswered requests.
 * @param state - numbers of unanswered requests
 * @returns whether no connection is read from now on
 */
export function isFull({ all, limit, isFull: wasFull }: Omit<UnansweredState, 'own'>): boolean {
  return all >= limit * (wasFull ? RESUME_SHARE : 1);
}

/**
 * Decides whether a connection is read.
 * @param state - numbers of unanswered requests
 * @returns whether it is read
 */
export function isRead(state: UnansweredState): boolean {
  return !isFull(state) && state.own < MAX_AHEAD;
}

/** Runs tasks later. */
export interface Schedule {
  /** Runs a task after those of the present callback: a socket that was resumed in it ignores a pause. */
  readonly afterCallback: (task: () => void) => void;
  /** Runs a task after the next poll of the sockets. */
  readonly afterPoll: (task: () => void) => void;
}

const EVENT_LOOP: Schedule = { afterCallback: process.nextTick, afterPoll: setImmediate };

/** Holds back the connections of callers that send too many requests ahead. */
export class ReadAhead<Connection extends ReadableConnection> {
  /** Number of unanswered requests of each open connection. */
  readonly #unanswered = new Map<Connection, number>();

  readonly #paused = new Set<Connection>();

  #all = 0;

  #isFull = false;

  /**
   * Creates an empty set.
   * @param limit - number of unanswered requests of all connections from which none is read
   * @param schedule - when connections are paused and resumed
   */
  constructor(
    private readonly limit: number,
    private readonly schedule: Schedule = EVENT_LOOP,
  ) {}

  /** Numbers for the log. */
  get facts(): Readonly<Record<string, number>> {
    return { unanswered: this.#all, paused: this.#paused.size };
  }

  /**
   * Returns the number of unanswered requests of a connection.
   * @param connection - the connection
   * @returns number of requests
   */
  unanswered(connection: Connection): number {
    return this.#unanswered.get(connection) ?? 0;
  }

  /**
   * Adds a connection.
   * @param connection - the connection
   */
  opened(connection: Connection): void {
    this.#unanswered.set(connection, 0);
    if (this.#isFull) this.#pause(connection);
  }

  /**
   * Removes a connection that is closed.
   * @param connection - the connection
   */
  closed(connection: Connection): void {
    this.#all -= this.#unanswered.get(connection) ?? 0;
    this.#unanswered.delete(connection);
    this.#paused.delete(connection);
    this.#update();
  }

  /**
   * Counts a request.
   * @param connection - its connection
   */
  arrived(connection: Connection): void {
    this.#count(connection, 1);
  }

  /**
   * Stops reading a connection that has too many unanswered requests. To be called at the end of each request, as reading its
   * body resumes the connection.
   * @param connection - the connection
   */
  wasRead(connection: Connection): void {
    const own = this.#unanswered.get(connection);
    if (own === undefined) return;
    if (!this.#isRead(own)) this.#pause(connection);
  }

  /**
   * Counts an answer.
   * @param connection - its connection
   */
  answered(connection: Connection): void {
    this.#count(connection, -1);
    const own = this.#unanswered.get(connection);
    if (own !== undefined && this.#paused.has(connection)) this.#resumeIfRead(connection, own);
  }

  #count(connection: Connection, change: number): void {
    const own = this.#unanswered.get(connection);
    if (own === undefined) return;
    this.#unanswered.set(connection, own + change);
    this.#all += change;
    this.#update();
  }

  #update(): void {
    const wasFull = this.#isFull;
    this.#isFull = isFull({ all: this.#all, limit: this.limit, isFull: wasFull });
    if (this.#isFull === wasFull) return;
    if (this.#isFull) [...this.#unanswered.keys()].forEach((connection) => this.#pause(connection));
    else this.#resumeNext();
  }

  /** Resumes one connection in each iteration of the event loop, as each brings as many requests as one read holds. */
  #resumeNext(): void {
    if (this.#isFull) return;
    const next = [...this.#paused].find((connection) => this.#isRead(this.unanswered(connection)));
    if (!next) return;
    this.#resumeIfRead(next, this.unanswered(next));
    this.schedule.afterPoll(() => this.#resumeNext());
  }

  #resumeIfRead(connection: Connection, own: number): void {
    if (!this.#isRead(own)) return;
    this.#paused.delete(connection);
    connection.resume();
  }

  #isRead(own: number): boolean {
    return isRead({ own, all: this.#all, limit: this.limit, isFull: this.#isFull });
  }

  #pause(connection: Connection): void {
    this.#paused.add(connection);
    this.schedule.afterCallback(() => {
      if (this.#paused.has(connection)) connection.pause();
    });
  }
}
