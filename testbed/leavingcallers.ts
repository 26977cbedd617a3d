/**
 * Callers that disconnect before they are answered. They run in a worker thread, because the event
 * loop of the test may be blocked.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

import type { RawExchange } from './rawexchange.js';

/** Placeholder in a request, replaced by the number of the caller. */
export const CALLER_PLACEHOLDER = '{caller}';

/** Number, requests and disconnection of the callers. */
export interface LeavingPlan {
  readonly host: string;
  readonly port: number;
  readonly callers: number;
  /** Bytes that each caller sends; CALLER_PLACEHOLDER is replaced by the caller's number. */
  readonly request: string;
  /**
   * Request that is sent and answered first on the same connection; undefined if each caller
   * opens its connection for the actual request.
   */
  readonly earlier: string | undefined;
  /** Time from the request until the caller disconnects, in milliseconds. */
  readonly leaveAfterMs: number;
  /**
   * How the connection ends: "close" sends all that was written, then FIN, and reads no more; "half-close" sends FIN and
   * goes on reading; "destroy" closes the socket with unread data; "reset" sends RST.
   */
  readonly how: 'close' | 'half-close' | 'destroy' | 'reset';
  /** Time from the request until a half-closing caller begins to read, in milliseconds; 0 if it is left out. */
  readonly readAfterMs?: number;
}

/** Message of the worker thread: its callers are connected, have left, or have received all that they will. */
export type LeavingMessage = 'ready' | 'left' | { readonly received: readonly RawExchange[] };

/** Worker thread with callers that wait for the start signal. */
export class LeavingCallers {
  private constructor(private readonly thread: Worker) {}

  /**
   * Starts the thread.
   * @param plan - number, requests and disconnection of the callers
   * @returns the callers, once any earlier requests are answered
   */
  static async start(plan: LeavingPlan): Promise<LeavingCallers> {
    const thread = new Worker(new URL('./leavingcallersthread.js', import.meta.url), {
      workerData: plan,
    });
    await once(thread, 'message');
    return new LeavingCallers(thread);
  }

  /** Starts the requests; the callers disconnect later even if the test's thread is blocked. */
  send(): void {
    this.thread.postMessage('send');
  }

  /**
   * Waits until the connections of all callers are closed.
   * @param timeoutMs - longest wait, in milliseconds; the connections that are open then are closed by their callers
   * @returns what each half-closing caller received after its earlier request; other callers do not read
   */
  async received(timeoutMs: number): Promise<readonly RawExchange[]> {
    this.thread.postMessage({ timeoutMs });
    // "left" may come first.
    for (;;) {
      // eslint-disable-next-line no-await-in-loop
      const [message] = (await once(this.thread, 'message')) as [LeavingMessage];
      if (typeof message === 'object') return message.received;
    }
  }

  /** Terminates the thread and its open connections. */
  async stop(): Promise<void> {
    await this.thread.terminate();
  }
}
