/** Callers that leave before they are answered, on a thread of their own: the event loop of the test may be busy. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/** Stands for the number of a caller in its request. */
export const CALLER_PLACEHOLDER = '{caller}';

/** What the callers do. */
export interface LeavingPlan {
  readonly host: string;
  readonly port: number;
  readonly callers: number;
  /** Bytes that each caller sends; its number stands for a placeholder, see CALLER_PLACEHOLDER. */
  readonly request: string;
  /** A request that is answered before; undefined for callers with a new connection. */
  readonly earlier: string | undefined;
  /** Time from the request until the caller leaves, in milliseconds. */
  readonly leaveAfterMs: number;
  /** Closes regularly, closes only the writing side, closes with whatever is unread, or resets. */
  readonly how: 'close' | 'half-close' | 'destroy' | 'reset';
}

/** Callers that are about to send their requests. */
export class LeavingCallers {
  private constructor(private readonly thread: Worker) {}

  /**
   * Starts callers.
   * @param plan - what they do
   * @returns the callers; those that sent an earlier request have its answer
   */
  static async start(plan: LeavingPlan): Promise<LeavingCallers> {
    const thread = new Worker(new URL('./leavingcallersthread.js', import.meta.url), {
      workerData: plan,
    });
    await once(thread, 'message');
    return new LeavingCallers(thread);
  }

  /** Lets them send, and leave later; they go on while the thread of the test is busy. */
  send(): void {
    this.thread.postMessage('send');
  }

  /** Ends them, with whatever they have open. */
  async stop(): Promise<void> {
    await this.thread.terminate();
  }
}
