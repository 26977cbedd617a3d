/** Connections of callers. */
import type { Socket } from 'node:net';
import type { Clock } from '../kernel/index.js';

/** When a request arrived, and on what connection. */
export interface Arrival {
  /** When its head was read, in milliseconds. */
  readonly at: number;
  /** Time since the connection was accepted, in milliseconds. */
  readonly connectionMs: number;
  /** Requests that came on it before. */
  readonly earlier: number;
}

interface Known {
  readonly acceptedAt: number;
  requests: number;
}

/** Keeps what is known of each open connection. */
export class CallerConnections {
  readonly #known = new WeakMap<Socket, Known>();

  /**
   * Creates an empty set.
   * @param clock - steady clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Takes note of a connection that was accepted.
   * @param socket - the connection
   */
  accepted(socket: Socket): void {
    this.#known.set(socket, { acceptedAt: this.clock.now(), requests: 0 });
  }

  /**
   * Takes note of a request that arrives on a connection.
   * @param socket - the connection
   * @returns its arrival
   */
  arrived(socket: Socket): Arrival {
    const now = this.clock.now();
    const known = this.#known.get(socket) ?? { acceptedAt: now, requests: 0 };
    const earlier = known.requests;
    known.requests += 1;
    return { at: now, connectionMs: now - known.acceptedAt, earlier };
  }
}
