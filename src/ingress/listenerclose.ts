/** Closes a listener without a reset of the connections that wait to be accepted. */
import { Server } from 'node:net';

import type { Socket } from 'node:net';
import type { Clock } from '../kernel/index.js';
import { afterPoll, isFresh } from './afterpoll.js';

/** How a listener came to be closed. */
export interface ListenerClosing {
  /** Number of connections that were accepted after it was due to close. */
  readonly accepted: number;
  /** Whether no connection waited to be accepted, which would have been reset with it. */
  readonly isEmpty: boolean;
}

type ConnectionListener = (socket: Socket) => void;

/** Holds the connections that a server accepts. */
class HeldConnections {
  readonly #listeners: readonly ConnectionListener[];

  readonly #sockets: Socket[] = [];

  #acceptedAt = Number.NEGATIVE_INFINITY;

  /**
   * Takes the place of those that serve the connections.
   * @param server - a listening server
   * @param clock - steady clock
   */
  constructor(
    private readonly server: Server,
    clock: Clock,
  ) {
    this.#listeners = server.listeners('connection') as ConnectionListener[];
    server.removeAllListeners('connection');
    server.on('connection', (socket) => {
      this.#acceptedAt = clock.now();
      // Without a listener, an error of a connection would end the process.
      socket.on('error', () => undefined);
      this.#sockets.push(socket);
    });
  }

  /** Number of connections. */
  get count(): number {
    return this.#sockets.length;
  }

  /** When the last connection was accepted, in milliseconds. */
  get acceptedAt(): number {
    return this.#acceptedAt;
  }

  /** Has the connections served. */
  release(): void {
    this.server.removeAllListeners('connection');
    this.#listeners.forEach((listener) => this.server.on('connection', listener));
    this.#sockets
      .filter((socket) => !socket.destroyed)
      .forEach((socket) => this.server.emit('connection', socket));
  }
}

/**
 * Closes a listener once no connection waits to be accepted, which would be reset with it. One connection is accepted in
 * each iteration of the event loop. They are served afterwards: callers that get their answers meanwhile would come back,
 * and each answer takes several times as long as a connection. Open connections are not closed.
 * @param server - a listening server
 * @param clock - steady clock
 * @param until - time at which the listener is closed in any case, in milliseconds
 * @returns how it came to be closed
 */
export async function closeListener(
  server: Server,
  clock: Clock,
  until: number,
): Promise<ListenerClosing> {
  const held = new HeldConnections(server, clock);
  let isEmpty: boolean;
  do {
    // eslint-disable-next-line no-await-in-loop
    const polledAfter = await afterPoll(clock);
    isEmpty = isFresh(polledAfter, clock.now()) && held.acceptedAt < polledAfter;
  } while (!isEmpty && clock.now() < until);
  // The "close" of an HTTP server would close connections whose last answer still waits for the caller to read.
  Server.prototype.close.call(server);
  held.release();
  return { accepted: held.count, isEmpty };
}
