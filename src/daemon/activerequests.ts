/** Counts the requests that a graceful stop waits for. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/**
 * Counts requests until both their processing and their response have ended. `count` adds up the
 * two, so that a request in progress counts twice.
 */
export class ActiveRequests {
  #count = 0;

  /** Requests with an open response. */
  readonly #open = new Set<IncomingMessage>();

  readonly #workspaces = new Map<string, number>();

  /** Number of open responses plus number of requests in processing; 0 when nothing is left. */
  get count(): number {
    return this.#count;
  }

  /** Number of open responses whose requests have not been received completely. */
  get unreadCount(): number {
    return [...this.#open].filter(({ complete }) => !complete).length;
  }

  /**
   * Returns the number of requests of one workspace that are in processing.
   * @param workspace - workspace name
   * @returns number of requests
   */
  countOf(workspace: string): number {
    return this.#workspaces.get(workspace) ?? 0;
  }

  /**
   * Counts a response until it is sent completely or its connection is closed.
   * @param req - a caller's request
   * @param res - its response
   */
  trackResponse(req: IncomingMessage, res: ServerResponse): void {
    this.#count += 1;
    this.#open.add(req);
    res.once('close', () => {
      this.#count -= 1;
      this.#open.delete(req);
    });
  }

  /**
   * Counts the processing of a request, which may continue after the caller has disconnected.
   * @param workspace - workspace that is charged
   * @param work - settles when the request has its outcome and is charged
   * @returns the result of `work`
   */
  async trackWork<Outcome>(workspace: string, work: Promise<Outcome>): Promise<Outcome> {
    this.#add(workspace, 1);
    try {
      return await work;
    } finally {
      this.#add(workspace, -1);
    }
  }

  #add(workspace: string, change: 1 | -1): void {
    this.#count += change;
    const count = this.countOf(workspace) + change;
    if (count > 0) this.#workspaces.set(workspace, count);
    else this.#workspaces.delete(workspace);
  }
}
