/** Concurrency and rate limits of workspaces, split over the live daemons. */
import { SECOND_MS } from '../kernel/index.js';
/** Time over which unused rate is saved up, in milliseconds. */
const BURST_MS = 2_000;
/** Owns the use of every workspace at one daemon. */
export class WorkspaceUse {
    #uses = new Map();
    /**
     * Admits a request if the share of this daemon has room.
     * @param limits - limits of the whole fleet
     * @param daemons - live daemons, at least one
     * @param now - time in milliseconds
     * @returns 0 if admitted, otherwise the delay in milliseconds after which to try again
     */
    enter(limits, daemons, now) {
        const use = this.#use(limits.workspace, now);
        const { concurrency, requestsPerSecond } = limits;
        if (concurrency !== undefined && use.open >= Math.ceil(concurrency / daemons))
            return SECOND_MS;
        if (requestsPerSecond !== undefined) {
            const rate = requestsPerSecond / daemons / SECOND_MS;
            use.tokens = Math.min(Math.max(1, rate * BURST_MS), use.tokens + (now - use.at) * rate);
            use.at = now;
            if (use.tokens < 1)
                return Math.ceil((1 - use.tokens) / rate);
            use.tokens -= 1;
        }
        use.open += 1;
        return 0;
    }
    /**
     * Takes note that an admitted request has ended.
     * @param workspace - its workspace
     */
    leave(workspace) {
        const use = this.#uses.get(workspace);
        if (use)
            use.open -= 1;
    }
    #use(workspace, now) {
        const known = this.#uses.get(workspace);
        if (known)
            return known;
        const fresh = { open: 0, tokens: Number.MAX_SAFE_INTEGER, at: now };
        this.#uses.set(workspace, fresh);
        return fresh;
    }
}
//# sourceMappingURL=workspacelimits.js.map