/** Which workers are thought to hold which prompt prefixes. */
/** Holders remembered for one prefix. */
const MAX_HOLDERS = 4;
/** Learned from own dispatches and from the engines' late and incomplete cache events. */
export class CacheIndex {
    capacity;
    /** In order of last use, the oldest first. */
    #holders = new Map();
    /**
     * Creates an empty index.
     * @param capacity - prefixes that are remembered
     */
    constructor(capacity) {
        this.capacity = capacity;
    }
    /** Prefixes that are remembered. */
    get size() {
        return this.#holders.size;
    }
    /**
     * Gives the holders of a prefix.
     * @param digest - digest of the prefix
     * @returns names of workers, the latest first
     */
    holders(digest) {
        return this.#holders.get(digest) ?? [];
    }
    /**
     * Takes note that a worker holds prefixes.
     * @param worker - name of the worker
     * @param digests - digests of the prefixes
     */
    add(worker, digests) {
        digests.forEach((digest) => {
            const known = this.holders(digest);
            this.#holders.delete(digest);
            const others = known[0] === worker ? known : [worker, ...known.filter((n) => n !== worker)];
            this.#holders.set(digest, others.slice(0, MAX_HOLDERS));
        });
        this.#trim();
    }
    /**
     * Takes note that a worker has dropped prefixes.
     * @param worker - name of the worker
     * @param digests - digests of the prefixes
     */
    remove(worker, digests) {
        digests.forEach((digest) => {
            const left = this.holders(digest).filter((name) => name !== worker);
            if (left.length > 0)
                this.#holders.set(digest, left);
            else
                this.#holders.delete(digest);
        });
    }
    #trim() {
        for (const digest of this.#holders.keys()) {
            if (this.#holders.size <= this.capacity)
                return;
            this.#holders.delete(digest);
        }
    }
}
//# sourceMappingURL=cacheindex.js.map