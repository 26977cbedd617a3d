/** Interval between fetches, in milliseconds. */
const REFRESH_MS = 5_000;
/** Least time between fetches that an unknown instance causes, in milliseconds. */
const RECHECK_MS = 500;
/** Refreshes the instance list; during an outage the last list stays. */
export class Directory {
    list;
    #instances = [];
    #fetchedAt = 0;
    #timer;
    /**
     * Creates a directory.
     * @param list - the platform's list
     */
    constructor(list) {
        this.list = list;
    }
    /** Fetches the list now and then at intervals. */
    async start() {
        await this.#refresh();
        this.#timer = setInterval(() => {
            void this.#refresh();
        }, REFRESH_MS);
    }
    /** Ends the refreshes. */
    stop() {
        clearInterval(this.#timer);
    }
    /**
     * Lists what is known.
     * @returns the instances of the last list
     */
    instances() {
        return this.#instances;
    }
    /**
     * Says whether the platform lists an instance, fetching again if it is not at hand.
     * @param name - instance name
     * @returns whether it is listed
     */
    async knows(name) {
        if (this.#find(name))
            return true;
        if (Date.now() - this.#fetchedAt > RECHECK_MS)
            await this.#refresh();
        return this.#find(name) !== undefined;
    }
    #find(name) {
        return this.#instances.find((instance) => instance.name === name);
    }
    async #refresh() {
        this.#fetchedAt = Date.now();
        const fetched = await this.list.fetch();
        if (fetched.ok)
            this.#instances = fetched.val;
    }
}
//# sourceMappingURL=directory.js.map