/** Stand-in of a peer in a worker thread, which keeps its side of a link while the event loop of the test is blocked. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

import type { PeerMessage } from '../src/link/index.js';

/** Which side of the link the stand-in is, and how it behaves. */
export interface PeerPlan {
  readonly fleetKey: string;
  readonly incarnation: string;
  /** Address to which it connects, "IP:port"; undefined if it listens. */
  readonly dials: string | undefined;
  /** Interval of its heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Reply to each request. */
  readonly reply: PeerMessage;
  /** Time from a request to its reply, in milliseconds. */
  readonly replyAfterMs: number;
  /** Time for which it does not accept the connection, in milliseconds. */
  readonly acceptAfterMs: number;
}

/** What the stand-in has seen. */
export interface PeerRecord {
  /** Number of links that have closed. */
  readonly closed: number;
  readonly requests: number;
}

/** Worker thread with one side of a link; it never closes the link itself. */
export class ThreadedPeer {
  private constructor(
    private readonly thread: Worker,
    /** Address at which it listens, "IP:port"; empty if it connects. */
    readonly address: string,
  ) {}

  /**
   * Starts the thread.
   * @param plan - side and behaviour
   * @returns the stand-in, once it listens or its link is open
   */
  static async start(plan: PeerPlan): Promise<ThreadedPeer> {
    const thread = new Worker(new URL('./threadedpeerthread.js', import.meta.url), {
      workerData: plan,
    });
    const [address] = (await once(thread, 'message')) as [string];
    return new ThreadedPeer(thread, address);
  }

  /** Returns what it has seen. */
  async record(): Promise<PeerRecord> {
    this.thread.postMessage('record');
    const [record] = (await once(this.thread, 'message')) as [PeerRecord];
    return record;
  }

  /** Terminates the thread. */
  async stop(): Promise<void> {
    await this.thread.terminate();
  }
}
