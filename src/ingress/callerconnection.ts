/** One connection of a caller, with its age, its number of requests and its end. */
import type { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';

import { CallerSide } from './leaving.js';
import { Occurrence } from './occurrence.js';

import type { ConnectionUse, UsedConnection } from './connectionlimit.js';
import type { CallerSideState } from './leaving.js';

/** Arrival time of a request, and age and use of its connection. */
export interface Arrival {
  /** Time at which the head of the request was read, in milliseconds. */
  readonly at: number;
  /** Time from the acceptance of the connection to the arrival of the request, in milliseconds. */
  readonly connectionMs: number;
  /** Number of earlier requests on the connection. */
  readonly earlier: number;
}

/** Socket of a connection. */
export interface CallerSocket extends EventEmitter {
  /** Number of bytes received so far. */
  readonly bytesRead: number;
  /** Closes the connection at once; bytes that were not handed to the operating system are lost. */
  destroy(): unknown;
}

/** One connection of a caller. */
export class CallerConnection implements UsedConnection {
  readonly #side = new CallerSide();

  readonly #close = new Occurrence();

  #requests = 0;

  #isClosing = false;

  /** When the last answer was sent, in milliseconds. */
  #idleSince = Number.POSITIVE_INFINITY;

  /** Number of requests without a complete answer. */
  #unanswered = 0;

  /** Number of these that were refused while the rest of their bodies is discarded. */
  #discarding = 0;

  #discardingSince = 0;

  /** The only open request while its body is being read. */
  #reading: { readonly since: number; readonly giveUp: () => void } | undefined;

  /** Number of bytes received up to the last request, or up to the end of its body. */
  #requestBytes = 0;

  /**
   * Starts to listen for the end of a connection.
   * @param socket - the connection
   * @param acceptedAt - time at which it was accepted, in milliseconds
   */
  constructor(
    private readonly socket: CallerSocket,
    private readonly acceptedAt: number,
  ) {
    socket.once('end', () => this.#side.ended());
    socket.once('close', () => {
      this.#side.left();
      this.#close.happen();
    });
  }

  /**
   * Counts a request on the connection.
   * @param now - current time, in milliseconds
   * @returns arrival of the request
   */
  arrived(now: number): Arrival {
    const earlier = this.#requests;
    this.#requests += 1;
    this.#unanswered += 1;
    this.wasRead();
    return { at: now, connectionMs: now - this.acceptedAt, earlier };
  }

  /**
   * Adds an answer of a server that keeps connections open after the end of the caller's side. Without such answers
   * that end counts as the caller's leaving.
   * @param res - response of the server
   */
  expects(res: ServerResponse): void {
    this.#side.expects(res);
  }

  /** What the connection is used for. */
  get use(): ConnectionUse {
    if (this.#reading && this.#unanswered === 1) return 'reading';
    if (this.#unanswered > this.#discarding) return 'busy';
    if (this.#discarding > 0) return 'discarding';
    return this.#requests === 0 ? 'unused' : 'idle';
  }

  /** Time since which it is used for that, in milliseconds; not known for a busy one. */
  get useSince(): number {
    if (this.#reading) return this.#reading.since;
    if (this.#discarding > 0) return this.#discardingSince;
    return this.#requests === 0 ? this.acceptedAt : this.#idleSince;
  }

  /**
   * Records that a request was refused and that the rest of its body is discarded from now on.
   * @param now - current time, in milliseconds
   * @returns function that records the end of that
   */
  discards(now: number): () => void {
    this.#discarding += 1;
    this.#discardingSince = now;
    return () => {
      this.#discarding -= 1;
    };
  }

  /**
   * Records that the body of the last request is being read from now on.
   * @param now - current time, in milliseconds
   * @param giveUp - refuses the request
   * @returns function that records the end of that
   */
  reads(now: number, giveUp: () => void): () => void {
    const reading = { since: now, giveUp };
    this.#reading = reading;
    return () => {
      if (this.#reading === reading) this.#reading = undefined;
    };
  }

  /** Closes the connection for a new one; a request whose body is being read is refused before. */
  giveWay(): void {
    this.#reading?.giveUp();
    setImmediate(() => this.socket.destroy());
  }

  /** Records that the last request was read completely. */
  wasRead(): void {
    this.#requestBytes = this.socket.bytesRead;
  }

  /**
   * Records that the answer to a request was handed to the operating system, or that it cannot be sent any more.
   * @param now - current time, in milliseconds
   */
  answered(now: number): void {
    this.#unanswered -= 1;
    this.#idleSince = now;
  }

  /**
   * Closes the connection if all its requests were answered and nothing has arrived since. To be called right after the
   * sockets were polled: a request that was not read yet gets no answer.
   * @param idleSince - latest time of the last answer, in milliseconds
   * @returns whether it was closed
   */
  closeIfIdle(idleSince: number): boolean {
    const isIdle =
      this.#requests > 0 &&
      this.#unanswered === 0 &&
      this.#idleSince <= idleSince &&
      this.socket.bytesRead === this.#requestBytes;
    if (isIdle) this.socket.destroy();
    return isIdle;
  }

  /** Whether the caller's side has ended, and what that means. */
  get callerSide(): CallerSideState {
    return this.#side.state;
  }

  /** Whether the caller's side has ended and it is not known yet whether the caller waits for its answers. */
  get isUnclear(): boolean {
    return this.callerSide === 'unclear';
  }

  /** Whether the caller's side has ended, after which no request arrives. */
  get hasEnded(): boolean {
    return this.callerSide !== 'open';
  }

  /** Whether the connection closes after an answer that has begun, so that no later request gets one. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /** Records that an answer has begun which announces the close of the connection. */
  announceClose(): void {
    this.#isClosing = true;
  }

  /**
   * Checks whether a request is the last one that has arrived.
   * @param arrival - arrival of the request
   * @returns whether no later request has arrived on the connection
   */
  isLast({ earlier }: Arrival): boolean {
    return earlier === this.#requests - 1;
  }

  /**
   * Adds a listener for the caller's leaving; it is called at once if the caller has left.
   * @param listener - called at most once
   * @returns function that removes the listener
   */
  onEnd(listener: () => void): () => void {
    return this.#side.onLeft(listener);
  }

  /**
   * Adds a listener for the conclusion that a caller whose side has ended waits for its answers; it is called at once
   * if that is known.
   * @param listener - called at most once
   * @returns function that removes the listener
   */
  onHalfClosed(listener: () => void): () => void {
    return this.#side.onHalfClosed(listener);
  }

  /**
   * Adds a listener for the end of both sides, after which nothing can be sent; it is called at once if the
   * connection is closed.
   * @param listener - called at most once
   * @returns function that removes the listener
   */
  onClose(listener: () => void): () => void {
    return this.#close.listen(listener);
  }
}
