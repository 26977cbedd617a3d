/** Streams a model answer to the caller as server-sent events. */
import { once } from 'node:events';

import type { ServerResponse } from 'node:http';
import { FAILURE_KINDS, formatFailure, retryAfter, waitAtMost } from '../kernel/index.js';
import { AnswerSink } from './answersink.js';

import type { Failure } from '../kernel/index.js';

/** Event that marks an answer as complete. */
const END_MARKER = 'data: [DONE]\n\n';

/** Longest wait for the caller's connection to drain, in milliseconds. */
const DRAIN_TIMEOUT_MS = 30_000;

/** Writes events to the caller's connection and waits while its buffer is full. */
export class StreamSink extends AnswerSink {
  #started = false;

  /**
   * Creates the sink of one answer.
   * @param res - response of the caller's request
   * @param key - idempotency key, returned to the caller
   * @param drainTimeoutMs - longest wait for the connection to drain, in milliseconds
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly key: string,
    private readonly drainTimeoutMs = DRAIN_TIMEOUT_MS,
  ) {
    super();
  }

  override get started(): boolean {
    return this.#started;
  }

  override async write(bytes: Buffer): Promise<void> {
    if (!this.#started) this.#sendHead();
    if (this.res.write(bytes) || this.res.destroyed) return;
    await this.#waitForDrain();
    // A caller that stops reading is treated as disconnected.
    if (this.res.writableNeedDrain) this.res.destroy();
  }

  override discard(): void {
    // Nothing is buffered here, and an answer that has started is not retried.
  }

  override finish(): void {
    this.res.end(END_MARKER);
  }

  override refuse(fail: Failure): void {
    const body = JSON.stringify(formatFailure(fail));
    if (this.#started) {
      this.res.end(`data: ${body}\n\n`);
      return;
    }
    this.res.writeHead(FAILURE_KINDS[fail.code].status, {
      'content-type': 'application/json',
      'idempotency-key': this.key,
      ...retryAfter(fail),
    });
    this.res.end(body);
  }

  async #waitForDrain(): Promise<void> {
    const controller = new AbortController();
    const { signal } = controller;
    const endings = [once(this.res, 'drain', { signal }), once(this.res, 'close', { signal })];
    await waitAtMost(Promise.race(endings), this.drainTimeoutMs).finally(() => controller.abort());
  }

  #sendHead(): void {
    this.#started = true;
    this.res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'idempotency-key': this.key,
    });
  }
}
