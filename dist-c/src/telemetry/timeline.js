/** Keeps the newest events and forgets the oldest. */
export class Timeline {
    capacity;
    #ring = [];
    #next = 0;
    /**
     * Creates a ring.
     * @param capacity - number of events that are kept
     */
    constructor(capacity) {
        this.capacity = capacity;
    }
    /**
     * Adds an event.
     * @param event - the event
     */
    add(event) {
        this.#ring[this.#next] = event;
        this.#next = (this.#next + 1) % this.capacity;
    }
    /**
     * Lists what is kept.
     * @returns the events, oldest first
     */
    list() {
        return [...this.#ring.slice(this.#next), ...this.#ring.slice(0, this.#next)];
    }
}
//# sourceMappingURL=timeline.js.map