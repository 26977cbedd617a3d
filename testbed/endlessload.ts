/**
 * A faulty upstream and the callers of its service. They run in a worker thread, so that they keep their pace beside the
 * event loop of the test.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

import type { EndlessAnswer } from './endlessserver.js';

/** Placeholder in a request, replaced by an id that is unique to it. */
export const REQUEST_PLACEHOLDER = '{request}';

/** Callers that send one request after the other, each on a connection of its own. */
export interface EndlessCallers {
  readonly host: string;
  readonly port: number;
  /** Number of callers. */
  readonly callers: number;
  /** Bytes of each request; REQUEST_PLACEHOLDER is replaced by its id. */
  readonly request: string;
  /** Whether the callers read what they receive. */
  readonly reads: boolean;
}

/** Worker thread with one faulty upstream and the callers of its service. */
export class EndlessLoad {
  private constructor(
    private readonly thread: Worker,
    /** Address of the faulty upstream, "IP:port". */
    readonly address: string,
  ) {}

  /**
   * Starts the upstream.
   * @param answer - what it answers to each request
   * @returns the thread, once the upstream listens
   */
  static async start(answer: EndlessAnswer): Promise<EndlessLoad> {
    const thread = new Worker(new URL('./endlessloadthread.js', import.meta.url), {
      workerData: answer,
    });
    const [address] = (await once(thread, 'message')) as [string];
    return new EndlessLoad(thread, address);
  }

  /**
   * Starts the callers, which go on until the thread is stopped.
   * @param callers - their number and requests
   */
  call(callers: EndlessCallers): void {
    this.thread.postMessage(callers);
  }

  /** Terminates the thread with all its connections. */
  async stop(): Promise<void> {
    await this.thread.terminate();
  }
}
