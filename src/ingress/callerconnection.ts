/** One connection of a caller: when it was accepted, and when the caller ended it. */
import type { EventEmitter } from 'node:events';

/** Arrival time of a request, and age and use of its connection. */
export interface Arrival {
  /** When its head was read, in milliseconds. */
  readonly at: number;
  /** Time since the connection was accepted, in milliseconds. */
  readonly connectionMs: number;
  /** Number of earlier requests on it. */
  readonly earlier: number;
}

/** One connection of a caller. */
export class CallerConnection {
  readonly #listeners = new Set<() => void>();

  #requests = 0;

  #isEnded = false;

  /**
   * Starts to listen for the end of a connection.
   * @param socket - the connection
   * @param acceptedAt - when it was accepted, in milliseconds
   */
  constructor(
    socket: EventEmitter,
    private readonly acceptedAt: number,
  ) {
    // A half-closed connection cannot be distinguished from a closed one.
    socket.once('end', () => this.#end());
    socket.once('close', () => this.#end());
  }

  /**
   * Counts a request.
   * @param now - current time, in milliseconds
   * @returns its arrival
   */
  arrived(now: number): Arrival {
    const earlier = this.#requests;
    this.#requests += 1;
    return { at: now, connectionMs: now - this.acceptedAt, earlier };
  }

  /**
   * Adds a listener for the end of the connection; it is called at once if the connection has ended.
   * @param listener - called once at most
   * @returns function that removes the listener
   */
  onEnd(listener: () => void): () => void {
    if (this.#isEnded) listener();
    else this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #end(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const listeners = [...this.#listeners];
    this.#listeners.clear();
    listeners.forEach((listener) => listener());
  }
}
