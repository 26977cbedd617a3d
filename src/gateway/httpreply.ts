/** A caller on an HTTP connection. */
import type { ServerResponse } from 'node:http';

import { CallerReply } from './reply.js';

import type { AnswerHead } from './protocol.js';

/** A caller on an HTTP connection. */
export class HttpReply extends CallerReply {
  isGone = false;

  /**
   * Wraps a response.
   * @param res - response of the server
   * @param isStopping - whether the connection is to close after the answer
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly isStopping: () => boolean,
  ) {
    super();
    res.on('drain', () => this.onDrain());
    res.on('close', () => {
      if (res.writableFinished) return;
      this.isGone = true;
      this.onGone();
    });
    // A caller that resets its connection is noticed by "close".
    res.on('error', () => undefined);
  }

  override get isBegun(): boolean {
    return this.res.headersSent;
  }

  override begin({ status, forward }: AnswerHead): void {
    this.#closeIfStopping();
    this.res.writeHead(status, [...forward]);
  }

  override write(bytes: Buffer): boolean {
    return this.res.write(bytes);
  }

  override end(): void {
    this.res.end();
  }

  override breakOff(): void {
    this.res.destroy();
  }

  override answer(status: number, headers: Readonly<Record<string, string>>, body: string): void {
    if (this.isGone || this.res.headersSent) return;
    this.#closeIfStopping();
    this.res.writeHead(status, {
      ...headers,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    this.res.end(body);
  }

  #closeIfStopping(): void {
    if (this.isStopping()) this.res.shouldKeepAlive = false;
  }
}
