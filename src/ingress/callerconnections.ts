/** Connections of callers, by socket. */
import type { Socket } from 'node:net';
import { afterPoll, freshPoll, isFresh } from './afterpoll.js';
import { CallerConnection } from './callerconnection.js';
import { leastUseful } from './connectionlimit.js';

import type { Clock } from '../kernel/index.js';

/** Keeps one CallerConnection for each open socket. */
export class CallerConnections {
  readonly #known = new WeakMap<Socket, CallerConnection>();

  readonly #open = new Set<CallerConnection>();

  #acceptedAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates an empty set.
   * @param clock - steady clock
   */
  constructor(private readonly clock: Clock) {}

  /** Number of open connections. */
  get size(): number {
    return this.#open.size;
  }

  /** When the last connection was accepted, in milliseconds. */
  get acceptedAt(): number {
    return this.#acceptedAt;
  }

  /**
   * Returns the connection of a socket. A socket that is not known yet counts as accepted now.
   * @param socket - the socket
   * @returns its connection
   */
  of(socket: Socket): CallerConnection {
    const known = this.#known.get(socket);
    if (known) return known;
    this.#acceptedAt = this.clock.now();
    const connection = new CallerConnection(socket, this.#acceptedAt);
    this.#known.set(socket, connection);
    this.#open.add(connection);
    connection.onClose(() => this.#open.delete(connection));
    return connection;
  }

  /**
   * Closes the connections on which all requests were answered, after the sockets have been polled. After a longer
   * poll some are left for the next call. The server's "closeIdleConnections" also closes those whose last answer still
   * waits for the caller to read.
   * @param minIdleMs - least time since the last answer, in milliseconds: a caller that has just read one may be
   * sending its next request
   * @returns number of closed connections
   */
  async closeIdle(minIdleMs: number): Promise<number> {
    const polledAfter = await afterPoll(this.clock);
    let closed = 0;
    for (const connection of this.#open) {
      if (!isFresh(polledAfter, this.clock.now())) break;
      if (connection.closeIfIdle(polledAfter - minIdleMs)) closed += 1;
    }
    return closed;
  }

  /**
   * Closes the least useful connection for a new one.
   * @returns whether there was one that is not in use
   */
  closeLeastUseful(): boolean {
    const found = leastUseful(this.#open, this.clock.now());
    if (!found) return false;
    // The event that the connection is closed follows later.
    this.#open.delete(found);
    found.giveWay();
    return true;
  }

  /**
   * Closes the connection of a socket whose idle time is over, unless a request has arrived meanwhile.
   * @param socket - the socket
   */
  async closeExpired(socket: Socket): Promise<void> {
    const expiredAt = this.clock.now();
    await freshPoll(this.clock);
    this.of(socket).closeIfIdle(expiredAt);
  }
}
