/** Requests that a graceful stop waits for. */
import type { ServerResponse } from 'node:http';

/** Counts requests from their arrival until their work and their response have ended. */
export class ActiveRequests {
  #count = 0;

  readonly #workspaces = new Map<string, number>();

  /** Requests that have not ended. */
  get count(): number {
    return this.#count;
  }

  /**
   * Gives the requests of one workspace.
   * @param workspace - workspace name
   * @returns number of requests
   */
  countOf(workspace: string): number {
    return this.#workspaces.get(workspace) ?? 0;
  }

  /**
   * Counts a response until its connection has taken it or is gone.
   * @param res - response of a caller's request
   */
  trackResponse(res: ServerResponse): void {
    this.#count += 1;
    res.once('close', () => {
      this.#count -= 1;
    });
  }

  /**
   * Counts the work of a request, which may outlive the caller's connection.
   * @param workspace - workspace that is charged
   * @param work - settles once the request is decided and charged
   * @returns the outcome of the work
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
