/** Splits a byte stream into whole server-sent events. */
const NEWLINE = 0x0a;
const EMPTY = Buffer.alloc(0);
/** Holds the unfinished event between chunks. */
export class EventSplitter {
    #rest = EMPTY;
    /**
     * Takes a chunk.
     * @param chunk - bytes as they arrive
     * @returns the whole events so far, each with its closing empty line
     */
    push(chunk) {
        const data = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
        let events = 0;
        let end = 0;
        for (let at = data.indexOf('\n\n'); at >= 0; at = data.indexOf('\n\n', end)) {
            end = at + 2;
            events += 1;
        }
        this.#rest = data.subarray(end);
        return { whole: data.subarray(0, end), events };
    }
    /** Whether an event has begun that has not ended. */
    get unfinished() {
        return this.#rest.some((byte) => byte !== NEWLINE);
    }
}
//# sourceMappingURL=eventsplitter.js.map