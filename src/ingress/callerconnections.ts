/** Connections of callers, by socket. */
import type { Socket } from 'node:net';
import { CallerConnection } from './callerconnection.js';

import type { Clock } from '../kernel/index.js';

/** Keeps one CallerConnection for each open socket. */
export class CallerConnections {
  readonly #known = new WeakMap<Socket, CallerConnection>();

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
    return connection;
  }
}
