/** Connections of callers, by socket. */
import type { Socket } from 'node:net';
import { CallerConnection } from './callerconnection.js';

import type { Clock } from '../kernel/index.js';

/** Keeps one CallerConnection for each open socket. */
export class CallerConnections {
  readonly #known = new WeakMap<Socket, CallerConnection>();

  readonly #open = new Set<CallerConnection>();

  /**
   * Creates an empty set.
   * @param clock - steady clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Returns the connection of a socket. A socket that is not known yet counts as accepted now.
   * @param socket - the socket
   * @returns its connection
   */
  of(socket: Socket): CallerConnection {
    const known = this.#known.get(socket);
    if (known) return known;
    const connection = new CallerConnection(socket, this.clock.now());
    this.#known.set(socket, connection);
    this.#open.add(connection);
    connection.onClose(() => this.#open.delete(connection));
    return connection;
  }

  /**
   * Closes the connections on which all requests were answered. The server's "closeIdleConnections" also closes those
   * whose last answer still waits for the caller to read.
   * @returns number of closed connections
   */
  closeIdle(): number {
    return [...this.#open].filter((connection) => connection.closeIfIdle()).length;
  }
}
