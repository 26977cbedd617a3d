/** Concurrency and rate limits of workspaces, split over the live daemons. */
import { SECOND_MS } from '../kernel/index.js';

/** Time over which unused rate is saved up, in milliseconds. */
const BURST_MS = 2_000;

/** Limits of one workspace in the whole fleet. */
export interface WorkspaceLimits {
  readonly workspace: string;
  /** Requests that may be open at once; absent for no limit. */
  readonly concurrency?: number | undefined;
  /** Requests a second; absent for no limit. */
  readonly requestsPerSecond?: number | undefined;
}

/** Use of one workspace at this daemon. */
interface WorkspaceUsage {
  open: number;
  tokens: number;
  at: number;
}

/** Owns the use of every workspace at one daemon. */
export class WorkspaceLimiter {
  readonly #usages = new Map<string, WorkspaceUsage>();

  /**
   * Admits a request if the share of this daemon has room.
   * @param limits - limits of the whole fleet
   * @param daemons - live daemons, at least one
   * @param now - time in milliseconds
   * @returns 0 if admitted, otherwise the delay in milliseconds after which to try again
   */
  admit(limits: WorkspaceLimits, daemons: number, now: number): number {
    const usage = this.#usageOf(limits.workspace, now);
    const { concurrency, requestsPerSecond } = limits;
    if (concurrency !== undefined && usage.open >= Math.ceil(concurrency / daemons))
      return SECOND_MS;
    if (requestsPerSecond !== undefined) {
      const rate = requestsPerSecond / daemons / SECOND_MS;
      usage.tokens = Math.min(Math.max(1, rate * BURST_MS), usage.tokens + (now - usage.at) * rate);
      usage.at = now;
      if (usage.tokens < 1) return Math.ceil((1 - usage.tokens) / rate);
      usage.tokens -= 1;
    }
    usage.open += 1;
    return 0;
  }

  /**
   * Takes note that an admitted request has ended.
   * @param workspace - its workspace
   */
  release(workspace: string): void {
    const usage = this.#usages.get(workspace);
    if (usage) usage.open -= 1;
  }

  #usageOf(workspace: string, now: number): WorkspaceUsage {
    const known = this.#usages.get(workspace);
    if (known) return known;
    const fresh = { open: 0, tokens: Number.MAX_SAFE_INTEGER, at: now };
    this.#usages.set(workspace, fresh);
    return fresh;
  }
}
