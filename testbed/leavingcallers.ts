/**
 * Callers that disconnect before they are answered. They run in a worker thread, because the event
 * loop of the test may be blocked.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

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
}

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

  /** Terminates the thread and its open connections. */
  async stop(): Promise<void> {
    await this.thread.terminate();
  }
}
