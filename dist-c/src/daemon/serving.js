/** Counts the open requests of this daemon at each upstream. */
export class OpenWork {
    #counts = new Map();
    #total = 0;
    /** Requests that are open at all upstreams. */
    get total() {
        return this.#total;
    }
    /**
     * Gives the open requests at one upstream.
     * @param upstream - upstream name
     * @returns number of requests
     */
    at(upstream) {
        return this.#counts.get(upstream) ?? 0;
    }
    /**
     * Counts a request that begins or ends.
     * @param upstream - upstream name
     * @param change - 1 when it begins, -1 when it ends
     */
    add(upstream, change) {
        this.#counts.set(upstream, this.at(upstream) + change);
        this.#total += change;
    }
}
//# sourceMappingURL=serving.js.map