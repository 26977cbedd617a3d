/** Reads the answer of an engine: whole events, each checked to belong to the request. */
import { z } from 'zod';
import { EventSplitter } from './eventsplitter.js';
/** The marker that ends a whole answer. */
const END_MARKER = Buffer.from('data: [DONE]\n\n');
const usageEventSchema = z.object({
    id: z.string(),
    usage: z.object({ prompt_tokens: z.number(), completion_tokens: z.number() }),
});
/** Reads one answer. */
export class AnswerReader {
    #splitter = new EventSplitter();
    #prefix;
    #usage;
    #events = 0;
    /**
     * Creates the reader of one answer.
     * @param call - the request that is answered
     */
    constructor(call) {
        this.#prefix = Buffer.from(`data: {"id":${JSON.stringify(call.id)}`);
    }
    /**
     * Reads a response body.
     * @param body - chunks as they arrive
     * @returns parts, then one end or cut
     */
    async *read(body) {
        try {
            for await (const chunk of body) {
                const { whole, events } = this.#splitter.push(chunk);
                if (events > 0) {
                    const item = this.#take(whole, events);
                    yield item;
                    if (item.kind === 'cut')
                        return;
                    if (this.#ended(whole)) {
                        yield this.#end();
                        return;
                    }
                }
            }
            yield this.#cut('the stream ended without its end marker');
        }
        catch (err) {
            yield this.#cut(String(err));
        }
    }
    #ended(whole) {
        return (whole.length >= END_MARKER.length && whole.subarray(-END_MARKER.length).equals(END_MARKER));
    }
    #take(whole, events) {
        let start = 0;
        for (let index = 0; index < events; index += 1) {
            const end = whole.indexOf('\n\n', start) + 2;
            if (!this.#belongs(whole, start, end))
                return this.#cut('an event of another request');
            start = end;
        }
        this.#events += events;
        const bytes = this.#ended(whole) ? whole.subarray(0, -END_MARKER.length) : whole;
        return { kind: 'part', bytes, events };
    }
    #belongs(whole, start, end) {
        const marker = end - start === END_MARKER.length && whole.subarray(start, end).equals(END_MARKER);
        if (marker)
            return true;
        const head = whole.subarray(start, start + this.#prefix.length);
        if (!head.equals(this.#prefix))
            return false;
        if (whole.subarray(start, end).includes('"usage":{'))
            this.#readUsage(whole, start, end);
        return true;
    }
    #readUsage(whole, start, end) {
        const text = whole.toString('utf8', start + 'data: '.length, end);
        const { usage } = usageEventSchema.parse(JSON.parse(text));
        this.#usage = {
            promptTokens: usage.prompt_tokens,
            completionTokens: usage.completion_tokens,
        };
    }
    #end() {
        if (!this.#usage)
            return this.#cut('the answer carries no usage');
        return { kind: 'end', usage: this.#usage };
    }
    #cut(reason) {
        return { kind: 'cut', reason, events: this.#events };
    }
}
//# sourceMappingURL=answerreader.js.map