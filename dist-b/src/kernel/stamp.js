/**
 * Compares two stamps.
 * @param a - one stamp
 * @param b - another stamp
 * @returns a negative number when a is earlier, a positive one when it is later
 */
export function compareStamps(a, b) {
    return a.wall - b.wall || a.count - b.count;
}
/** Issues stamps that grow, also past the stamps of received messages. */
export class HybridClock {
    clock;
    #last = { wall: 0, count: 0 };
    /**
     * Creates the clock of one process.
     * @param clock - wall clock that it follows
     */
    constructor(clock) {
        this.clock = clock;
    }
    /**
     * Issues the next stamp.
     * @returns a stamp later than every stamp issued or received before
     */
    next() {
        const wall = this.clock.now();
        this.#last =
            wall > this.#last.wall
                ? { wall, count: 0 }
                : { wall: this.#last.wall, count: this.#last.count + 1 };
        return this.#last;
    }
    /**
     * Takes note of a stamp that came with a message.
     * @param stamp - stamp of the sender
     */
    observe(stamp) {
        if (compareStamps(stamp, this.#last) > 0)
            this.#last = stamp;
    }
}
//# sourceMappingURL=stamp.js.map