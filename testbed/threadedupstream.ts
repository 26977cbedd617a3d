/** Raw upstream stand-in in a worker thread, which answers while the event loop of the test is blocked. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

import type { RawAnswer } from './rawupstream.js';

/** Answers of the stand-in. */
export interface ThreadedPlan {
  /** Answers in the order of the requests; the last one repeats. */
  readonly answers: readonly RawAnswer[];
  /** Request header that carries the id. */
  readonly idHeader: string;
}

/** Worker thread with a RawUpstream. */
export class ThreadedUpstream {
  private constructor(
    private readonly thread: Worker,
    /** Address, "IP:port". */
    readonly address: string,
  ) {}

  /**
   * Starts the thread.
   * @param plan - answers of the stand-in
   * @returns the stand-in, once it listens
   */
  static async start(plan: ThreadedPlan): Promise<ThreadedUpstream> {
    const thread = new Worker(new URL('./threadedupstreamthread.js', import.meta.url), {
      workerData: plan,
    });
    const [address] = (await once(thread, 'message')) as [string];
    return new ThreadedUpstream(thread, address);
  }

  /** Returns the number of requests that were received. */
  async requestCount(): Promise<number> {
    this.thread.postMessage('count');
    const [count] = (await once(this.thread, 'message')) as [number];
    return count;
  }

  /** Terminates the thread and its connections. */
  async stop(): Promise<void> {
    await this.thread.terminate();
  }
}
