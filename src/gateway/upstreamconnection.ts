/** One connection to an upstream; carries one request at a time. */
import { Client } from 'undici';

import { WatchedSocket } from '../upstream/watchedsocket.js';

import type { SocketEnding } from '../upstream/watchedsocket.js';

/**
 * Time limit for opening a connection, in milliseconds: an address without an upstream may drop
 * packets instead of refusing.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Time for which an idle connection is kept if the upstream announces no such time, in milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;

/**
 * Time subtracted from the idle time that an upstream announces, in milliseconds. Without it, the upstream
 * might close the connection just when a request is sent on it.
 */
const IDLE_MARGIN_MS = 600;

/** One connection over one socket; once that has ended, the connection is of no use. */
export class UpstreamConnection {
  readonly client: Client;

  readonly #socket = new WatchedSocket();

  /** Whether it was reported as established and not yet as ended. */
  #isCounted = false;

  /** Number of requests that were sent on it. */
  #requests = 0;

  /**
   * Creates a connection; it is opened by its first request.
   * @param address - "IP:port" of the upstream
   * @param onOpenChange - called when it has been established or has ended
   * @param onClosed - called when it has closed or failed
   */
  constructor(
    address: string,
    private readonly onOpenChange: (isOpen: boolean) => void,
    onClosed: (connection: UpstreamConnection) => void,
  ) {
    this.client = new Client(`http://${address}`, {
      connect: this.#socket.connector(CONNECT_TIMEOUT_MS),
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('connect', () => this.#reportOpen(true));
    const markClosed = (): void => {
      this.#reportOpen(false);
      onClosed(this);
    };
    this.client.on('disconnect', markClosed);
    this.client.on('connectionError', markClosed);
  }

  /** Whether the connection is established, and neither side has ended it. */
  get isOpen(): boolean {
    return this.#socket.isOpen;
  }

  /** Whether the operating system has taken all that was written, so that no buffer of a request is in use. */
  get isFlushed(): boolean {
    return this.#socket.isFlushed;
  }

  /**
   * How the socket ended, recorded before the client handles the end; undefined while it is open.
   */
  get ending(): SocketEnding | undefined {
    return this.#socket.ending;
  }

  /** Number of requests that were sent on it. */
  get requests(): number {
    return this.#requests;
  }

  /** Records that a request starts to be sent. */
  noteRequest(): void {
    this.#requests += 1;
    this.#socket.beginAnswer();
  }

  /**
   * Records a part of the body of an answer.
   * @param bytes - its length
   */
  noteBody(bytes: number): void {
    this.#socket.noteBody(bytes);
  }

  /** Closes the connection at once; a request on it fails. */
  destroy(): void {
    this.#reportOpen(false);
    this.client.destroy(() => undefined);
  }

  #reportOpen(isOpen: boolean): void {
    if (this.#isCounted === isOpen) return;
    this.#isCounted = isOpen;
    this.onOpenChange(isOpen);
  }
}
