/** Answer to a caller over HTTP. */
import type { ServerResponse } from 'node:http';

import { CallerReply } from './reply.js';

import type { CallerConnection } from '../ingress/index.js';
import type { AnswerHead } from './protocol.js';

/** Whether headers, as alternating names and values, include a length. */
function hasLength(headers: readonly string[]): boolean {
  return headers.some((name, at) => at % 2 === 0 && name.toLowerCase() === 'content-length');
}

/** Answer to a caller over HTTP. */
export class HttpReply extends CallerReply {
  isDisconnected = false;

  /** Resolves once all bytes of the answer have been handed to the operating system, or the connection has ended. */
  readonly finished: Promise<void>;

  /**
   * Whether the answer is delimited by a length or chunks rather than by the end of the connection.
   */
  #isFramed = true;

  /** Whether the end of an answer of the router itself is held back. */
  #isEndHeld = false;

  /**
   * Wraps a response.
   * @param res - response of the server
   * @param connection - connection of the request; needed as a pipelined response has no socket while it waits
   * for an earlier one
   * @param isStopping - returns whether the connection is to be closed after the answer
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly connection: CallerConnection,
    private readonly isStopping: () => boolean,
  ) {
    super();
    res.on('drain', () => this.onDrain());
    this.finished = new Promise((resolve) => {
      // A pipelined response that still waits when its connection closes emits neither event of its own.
      const unsubscribe = connection.onClose(resolve);
      const finish = (): void => {
        unsubscribe();
        resolve();
      };
      res.on('finish', finish);
      res.on('close', finish);
    });
    const unsubscribe = connection.onEnd(() => this.#markDisconnected());
    res.on('close', () => {
      unsubscribe();
      this.#markDisconnected();
    });
    // After a reset by the caller, "close" follows, which is handled above.
    res.on('error', () => undefined);
  }

  /** Whether the answer was complete here when its connection ended, but not yet sent. */
  get isUnsent(): boolean {
    return this.res.writableEnded && !this.res.writableFinished;
  }

  /** Number of bytes of the answer that wait to be sent. */
  get unsentBytes(): number {
    return this.res.writableLength;
  }

  /** Whether the connection would be closed after an answer that begins now. */
  get closesConnection(): boolean {
    return !this.res.shouldKeepAlive || this.isStopping();
  }

  override get isBegun(): boolean {
    return this.res.headersSent;
  }

  override begin({ status, forward, isFramed }: AnswerHead): void {
    this.#closeIfStopping();
    // An answer without a length or chunks is passed on in chunks, unless the caller's version of HTTP has none: if
    // this process is killed, the operating system closes the connection, which would complete the answer.
    this.#isFramed = this.res.useChunkedEncodingByDefault || (isFramed && hasLength(forward));
    if (!this.#isFramed) {
      this.res.removeHeader('transfer-encoding');
      this.res.shouldKeepAlive = false;
    }
    this.#writeHead(status, [...forward]);
  }

  override write(bytes: Buffer): boolean {
    return this.res.write(bytes);
  }

  override end(): void {
    this.res.end();
  }

  override abortAnswer(): void {
    // An answer without a length or chunks counts as complete when its connection is closed: only a reset shows
    // that it was aborted.
    if (this.#isFramed) this.res.destroy();
    else this.res.socket?.resetAndDestroy();
  }

  /**
   * Holds back the end of an answer of the router itself, after which the server may close the connection; the caller
   * knows by its length that it is complete.
   * @param closes - whether the answer announces the close of the connection
   */
  holdEnd(closes: boolean): void {
    this.#isEndHeld = true;
    if (closes) this.res.shouldKeepAlive = false;
  }

  /** Aborts an answer that was begun, unless it was written completely. */
  abortUnfinished(): void {
    if (!this.res.writableEnded) this.abortAnswer();
  }

  override answer(status: number, headers: Readonly<Record<string, string>>, body: string): void {
    if (this.isDisconnected || this.res.headersSent) return;
    this.#closeIfStopping();
    this.#writeHead(status, {
      ...headers,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    if (this.#isEndHeld) {
      // An answer to HEAD has no body that would take its head along.
      this.res.flushHeaders();
      this.res.write(body);
    } else this.res.end(body);
  }

  #markDisconnected(): void {
    if (this.isDisconnected || this.res.writableFinished) return;
    this.isDisconnected = true;
    this.onDisconnect();
  }

  #writeHead(status: number, headers: string[] | Readonly<Record<string, string | number>>): void {
    if (!this.res.shouldKeepAlive) this.connection.announceClose();
    this.res.writeHead(status, headers);
  }

  #closeIfStopping(): void {
    if (this.isStopping()) this.res.shouldKeepAlive = false;
  }
}
