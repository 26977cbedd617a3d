/** Answer to a caller over HTTP. */
import type { ServerResponse } from 'node:http';

import { CallerReply } from './reply.js';

import type { CallerConnection } from '../ingress/index.js';
import type { AnswerHead } from './protocol.js';

/** Answer to a caller over HTTP. */
export class HttpReply extends CallerReply {
  isDisconnected = false;

  /**
   * Whether the answer is delimited by a length or chunks rather than by the end of the connection.
   */
  #isFramed = true;

  /**
   * Wraps a response.
   * @param res - response of the server
   * @param connection - connection of the request: a pipelined response that waits for another one has no socket
   * @param isStopping - whether the connection is to close after the answer
   */
  constructor(
    private readonly res: ServerResponse,
    connection: CallerConnection,
    private readonly isStopping: () => boolean,
  ) {
    super();
    res.on('drain', () => this.onDrain());
    const unsubscribe = connection.onEnd(() => this.#markDisconnected());
    res.on('close', () => {
      unsubscribe();
      this.#markDisconnected();
    });
    // A reset by the caller is handled by "close".
    res.on('error', () => undefined);
  }

  override get isBegun(): boolean {
    return this.res.headersSent;
  }

  override begin({ status, forward, isFramed }: AnswerHead): void {
    this.#closeIfStopping();
    this.#isFramed = isFramed;
    if (!isFramed) {
      // Chunked encoding would mark the answer as complete, although the upstream only closed its
      // connection.
      this.res.removeHeader('transfer-encoding');
      this.res.shouldKeepAlive = false;
    }
    this.res.writeHead(status, [...forward]);
  }

  override write(bytes: Buffer): boolean {
    return this.res.write(bytes);
  }

  override end(): void {
    this.res.end();
  }

  override abortAnswer(): void {
    // A regular close of the connection would mark an answer without a length as complete.
    if (this.#isFramed) this.res.destroy();
    else this.res.socket?.resetAndDestroy();
  }

  override answer(status: number, headers: Readonly<Record<string, string>>, body: string): void {
    if (this.isDisconnected || this.res.headersSent) return;
    this.#closeIfStopping();
    this.res.writeHead(status, {
      ...headers,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    this.res.end(body);
  }

  #markDisconnected(): void {
    if (this.isDisconnected || this.res.writableFinished) return;
    this.isDisconnected = true;
    this.onDisconnect();
  }

  #closeIfStopping(): void {
    if (this.isStopping()) this.res.shouldKeepAlive = false;
  }
}
