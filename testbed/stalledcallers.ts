/** Callers in a worker thread, which send their requests while the test's thread is blocked. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/** Connections and requests of the callers. */
export interface StalledPlan {
  readonly host: string;
  readonly port: number;
  readonly callers: number;
  /** Bytes that each caller sends. */
  readonly request: string;
  /**
   * When a caller opens its connection: "with request" right before its request; "unused" when the callers start;
   * "used" as well, with a request that is answered first.
   */
  readonly opens: 'with request' | 'unused' | 'used';
  /** Time from "send" until the requests are sent, in milliseconds. */
  readonly sendAfterMs: number;
  /** Longest wait for an answer, in milliseconds. */
  readonly waitMs: number;
}

/** What one caller has received. */
export interface StalledExchange {
  readonly text: string;
  /** How its connection ended; "open" if it had not when the wait was over. */
  readonly ending: 'closed' | 'reset' | 'open';
}

/** Worker thread with callers that wait for the start signal. */
export class StalledCallers {
  private constructor(
    private readonly thread: Worker,
    /** Resolves with what the callers have received, once their waits are over. */
    readonly exchanges: Promise<readonly StalledExchange[]>,
  ) {}

  /**
   * Starts the thread.
   * @param plan - connections and requests of the callers
   * @returns the callers, once any earlier requests are answered
   */
  static async start(plan: StalledPlan): Promise<StalledCallers> {
    const thread = new Worker(new URL('./stalledcallersthread.js', import.meta.url), {
      workerData: plan,
    });
    await once(thread, 'message');
    const exchanges = once(thread, 'message').then(
      ([message]) => message as readonly StalledExchange[],
    );
    return new StalledCallers(thread, exchanges);
  }

  /** Starts the time until the requests are sent. */
  send(): void {
    this.thread.postMessage('send');
  }

  /** Terminates the thread and its open connections. */
  async stop(): Promise<void> {
    await this.thread.terminate();
  }
}
