/** Concurrency and rate limits of workspaces, divided equally between the live daemons. */
import { SECOND_MS } from '../kernel/index.js';

/** Time for which unused rate accumulates, in milliseconds; it bounds the burst size. */
const BURST_MS = 2_000;

/** Fleet-wide limits of one workspace. */
export interface WorkspaceLimits {
  readonly workspace: string;
  /** Maximum number of open requests; absent for no limit. */
  readonly concurrency?: number | undefined;
  /** Maximum requests per second; absent for no limit. */
  readonly requestsPerSecond?: number | undefined;
}

/** Usage of one workspace at this daemon. */
interface WorkspaceUsage {
  /** Open requests. */
  open: number;
  /** Requests that the rate limit currently allows (token bucket). */
  tokens: number;
  /** Time of the last refill, in milliseconds. */
  at: number;
}

/** Enforces the limits of every workspace at one daemon. */
export class WorkspaceLimiter {
  readonly #usages = new Map<string, WorkspaceUsage>();

  /**
   * Admits a request if this daemon's share of the limits allows it.
   * @param limits - fleet-wide limits of the workspace
   * @param daemons - number of live daemons, at least one
   * @param now - time in milliseconds
   * @returns 0 if admitted, otherwise the time in milliseconds after which to try again
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
   * Records that an admitted request has ended.
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
