/** Tasks: each owns its state and is reached only through messages. */
/** Owns state and handles one message at a time, in order of arrival. */
export class Task {
    #queue = [];
    #running = false;
    /**
     * Sends a message and waits for the reply.
     * @param message - what the task is to do
     * @returns the reply, once every earlier message has been handled
     */
    ask(message) {
        return new Promise((resolve, reject) => {
            this.#queue.push({ message, resolve, reject });
            if (!this.#running)
                void this.#run();
        });
    }
    /** Number of messages that wait. */
    get backlog() {
        return this.#queue.length;
    }
    async #run() {
        this.#running = true;
        for (let letter = this.#queue.shift(); letter; letter = this.#queue.shift()) {
            try {
                // Messages of one task are handled strictly in order.
                // eslint-disable-next-line no-await-in-loop
                letter.resolve(await this.handle(letter.message));
            }
            catch (err) {
                letter.reject(err);
            }
        }
        this.#running = false;
    }
}
//# sourceMappingURL=task.js.map