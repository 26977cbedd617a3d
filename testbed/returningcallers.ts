/** Callers in a worker thread that open a connection for each request, one after the other, until they are refused one. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/** Address and requests of the callers. */
export interface ReturningPlan {
  readonly host: string;
  readonly port: number;
  readonly callers: number;
  /** Bytes that each caller sends on each connection. */
  readonly request: string;
}

/** One request on a connection that was established. */
export interface ReturningExchange {
  readonly isAnswered: boolean;
  /** Time from the last byte of the request to its answer or the end of its connection, in milliseconds. */
  readonly waitedMs: number;
}

/** Worker thread with callers that begin at once. */
export class ReturningCallers {
  private constructor(
    private readonly thread: Worker,
    /** Resolves with all requests once each caller has been refused a connection. */
    readonly exchanges: Promise<readonly ReturningExchange[]>,
  ) {}

  /**
   * Starts the thread.
   * @param plan - address and requests of the callers
   * @returns the callers, once they begin
   */
  static async start(plan: ReturningPlan): Promise<ReturningCallers> {
    const thread = new Worker(new URL('./returningcallersthread.js', import.meta.url), {
      workerData: plan,
    });
    await once(thread, 'message');
    const exchanges = once(thread, 'message').then(
      ([message]) => message as readonly ReturningExchange[],
    );
    return new ReturningCallers(thread, exchanges);
  }

  /** Terminates the thread and its open connections. */
  async stop(): Promise<void> {
    await this.thread.terminate();
  }
}
