/** Opens the socket of a connection and records how it ends, before the HTTP client handles the end. */
import { buildConnector } from 'undici';

import type { Socket } from 'node:net';
import { OverheadError } from './overheaderror.js';
import { SocketEndedError } from './socketendederror.js';

/**
 * Number of bytes, beside its body and the framing of that, after which an answer is given up: the HTTP client reads
 * reasons, interim answers and extensions of chunks without a limit.
 */
const MAX_OVERHEAD_BYTES = 262_144;

/** Bytes of framing for each byte of a body: chunks of a few bytes need as much as they carry. */
const FRAMING_PER_BYTE = 1;

/**
 * Most bytes that the HTTP client takes at once. When it is paused, it puts back what it has not parsed; if it had taken
 * all, the socket would receive more in between, and hold more at each pause.
 */
const MAX_READ_BYTES = 65_536;

/** How the other side ended a socket. */
export type SocketEnding = 'closed' | 'reset';

/**
 * Checks whether a socket that reported its end was in fact reset. If a reset arrives together with the last bytes, Node.js
 * reports those bytes and a regular end. A write then fails at once, also one of no bytes, of which nothing is sent.
 * @param socket - the socket, when it emits "end"
 * @returns whether the connection was reset
 */
export function wasReset(socket: Socket): boolean {
  if (socket.writable) socket.write(Buffer.alloc(0));
  return socket.errored !== null;
}

/**
 * The only socket of a connection. The HTTP client opens another one by itself when a request is waiting and the socket has ended; that
 * is refused, as the ending recorded here would be taken for that of the other socket.
 */
export class WatchedSocket {
  #socket: Socket | undefined;

  #isRequested = false;

  #ending: SocketEnding | undefined;

  /** Number of bytes that were parsed before the current answer. */
  #parsedBefore = 0;

  /** Number of bytes of the current answer's body. */
  #bodyBytes = 0;

  /** Whether the socket is established, and neither side has ended it. */
  get isOpen(): boolean {
    return this.#socket?.destroyed === false && this.#ending === undefined;
  }

  /** Whether the operating system has taken all that was written. */
  get isFlushed(): boolean {
    return (this.#socket?.writableLength ?? 0) === 0;
  }

  /**
   * How the socket ended; undefined while it is open. The HTTP client takes each end of a socket for the end of an answer that
   * has neither a length nor chunks; only the ending tells a close from a reset.
   */
  get ending(): SocketEnding | undefined {
    return this.#ending;
  }

  /** Records that a request is sent, so that an answer begins. */
  beginAnswer(): void {
    this.#parsedBefore = this.#parsedBytes;
    this.#bodyBytes = 0;
  }

  /**
   * Records a part of the body of the current answer.
   * @param bytes - its length
   */
  noteBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  /**
   * Creates the connector for the HTTP client.
   * @param timeoutMs - time limit for opening the socket, in milliseconds
   * @returns the connector; from the second call on it fails with a SocketEndedError
   */
  connector(timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) => {
      if (this.#isRequested) {
        const { hostname, port } = options;
        queueMicrotask(() => callback(new SocketEndedError(`${hostname}:${port}`), null));
        return;
      }
      this.#isRequested = true;
      connect(options, (...result) => {
        const [err, socket] = result;
        if (err === null) this.#watch(socket, `${options.hostname}:${options.port}`);
        callback(...result);
      });
    };
  }

  /** Number of bytes that the HTTP client has parsed. */
  get #parsedBytes(): number {
    return this.#socket ? this.#socket.bytesRead - this.#socket.readableLength : 0;
  }

  /** Adds listeners that run before those of the HTTP client, which reports the end of an answer at once. */
  #watch(socket: Socket, address: string): void {
    this.#socket = socket;
    const read = socket.read.bind(socket);
    Object.assign(socket, {
      read: (size?: number): unknown => {
        const isLarge = size === undefined && socket.readableLength > MAX_READ_BYTES;
        return read(isLarge ? MAX_READ_BYTES : size);
      },
    });
    socket.prependListener('readable', () => {
      const parsed = this.#parsedBytes - this.#parsedBefore;
      const overhead = parsed - this.#bodyBytes * (1 + FRAMING_PER_BYTE);
      if (overhead > MAX_OVERHEAD_BYTES) socket.destroy(new OverheadError(address, overhead));
    });
    socket.prependListener('end', () => {
      this.#ending ??= wasReset(socket) ? 'reset' : 'closed';
    });
    socket.prependListener('error', () => {
      this.#ending ??= 'reset';
    });
    socket.prependListener('close', () => {
      this.#ending ??= 'reset';
    });
  }
}
