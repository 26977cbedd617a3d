/** One connection of a caller: when it was accepted, and when its caller left. */
import type { EventEmitter } from 'node:events';

/** When a request arrived, and on what connection. */
export interface Arrival {
  /** When its head was read, in milliseconds. */
  readonly at: number;
  /** Time since the connection was accepted, in milliseconds. */
  readonly connectionMs: number;
  /** Requests that came on it before. */
  readonly earlier: number;
}

/** One connection of a caller. */
export class CallerConnection {
  readonly #listeners = new Set<() => void>();

  #requests = 0;

  #isEnded = false;

  /**
   * Watches a connection.
   * @param socket - the connection
   * @param acceptedAt - when it was accepted, in milliseconds
   */
  constructor(
    socket: EventEmitter,
    private readonly acceptedAt: number,
  ) {
    // A caller that closes its writing side cannot be told from one that has closed the connection.
    socket.once('end', () => this.#end());
    socket.once('close', () => this.#end());
  }

  /**
   * Takes note of a request.
   * @param now - milliseconds
   * @returns its arrival
   */
  arrived(now: number): Arrival {
    const earlier = this.#requests;
    this.#requests += 1;
    return { at: now, connectionMs: now - this.acceptedAt, earlier };
  }

  /**
   * Listens for the end, at once where it has come.
   * @param listener - called once at most
   * @returns stops listening
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
