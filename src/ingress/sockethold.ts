/** Keeps a connection of a caller from being read. */
import type { Socket } from 'node:net';

/** Connection that can be held. */
export type HoldableSocket = Pick<Socket, 'pause' | 'resume' | 'readableFlowing' | 'on'>;

/**
 * Hold on one connection. A pause alone does not last: the server resumes a connection each time a part of a body was
 * read from its request, and a resumption that is due starts the reading even if a pause has come before.
 */
export class SocketHold {
  static readonly #known = new WeakMap<HoldableSocket, SocketHold>();

  readonly #resume: () => unknown;

  #isHeld = false;

  /** Whether the connection was resumed and has yet to say so. */
  #isResuming = false;

  private constructor(private readonly socket: HoldableSocket) {
    const resume = socket.resume.bind(socket);
    this.#resume = () => {
      // One that is flowing already does not say that it was resumed.
      this.#isResuming ||= socket.readableFlowing !== true;
      return resume();
    };
    socket.on('resume', () => this.#onResume());
    Object.assign(socket, {
      resume: (): HoldableSocket => {
        if (!this.#isHeld) this.#resume();
        return socket;
      },
    });
  }

  /**
   * Returns the hold on a connection, which is read as before until it is held.
   * @param socket - the connection
   * @returns its hold
   */
  static of(socket: HoldableSocket): SocketHold {
    const hold = SocketHold.#known.get(socket) ?? new SocketHold(socket);
    SocketHold.#known.set(socket, hold);
    return hold;
  }

  /** Stops reading before the next poll of the sockets; what the present read has brought still arrives. */
  hold(): void {
    this.#isHeld = true;
    if (!this.#isResuming) this.socket.pause();
  }

  /** Reads on, if the connection is held. */
  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    this.#resume();
  }

  #onResume(): void {
    this.#isResuming = false;
    if (!this.#isHeld) return;
    // The reading has started. Only a connection that counts as resumed is paused, so one that does not is resumed first.
    if (this.socket.readableFlowing === true) this.socket.pause();
    else this.#resume();
  }
}
