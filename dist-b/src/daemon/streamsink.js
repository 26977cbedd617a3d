/** Relays a model answer to the caller as server-sent events. */
import { once } from 'node:events';
import { FAILURE_KINDS, formatFailure, retryAfter } from '../kernel/index.js';
import { AnswerSink } from './answersink.js';
/** The marker that ends a whole answer. */
const END_MARKER = 'data: [DONE]\n\n';
/** Writes to the caller's connection. */
export class StreamSink extends AnswerSink {
    res;
    key;
    #started = false;
    /**
     * Creates the sink of one answer.
     * @param res - response of the caller's request
     * @param key - idempotency key, returned to the caller
     */
    constructor(res, key) {
        super();
        this.res = res;
        this.key = key;
    }
    get started() {
        return this.#started;
    }
    async write(bytes) {
        if (!this.#started)
            this.#begin();
        if (this.res.write(bytes) || this.res.destroyed)
            return;
        await Promise.race([once(this.res, 'drain'), once(this.res, 'close')]);
    }
    finish() {
        this.res.end(END_MARKER);
    }
    refuse(fail) {
        const body = JSON.stringify(formatFailure(fail));
        if (this.#started) {
            this.res.end(`data: ${body}\n\n`);
            return;
        }
        this.res.writeHead(FAILURE_KINDS[fail.code].status, {
            'content-type': 'application/json',
            'idempotency-key': this.key,
            ...retryAfter(fail),
        });
        this.res.end(body);
    }
    #begin() {
        this.#started = true;
        this.res.writeHead(200, {
            'content-type': 'text/event-stream',
            'cache-control': 'no-cache',
            'idempotency-key': this.key,
        });
    }
}
//# sourceMappingURL=streamsink.js.map