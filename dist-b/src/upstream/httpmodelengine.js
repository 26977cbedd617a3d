/** Client of model engines that speak chat completions over HTTP. */
import { Agent } from 'undici';
import { Err, failure, Ok } from '../kernel/index.js';
import { AnswerReader } from './answerreader.js';
import { ModelEngine } from './modelengine.js';
import { wasUnsent } from './unsent.js';
/** Longest wait for a connection, in milliseconds. */
const CONNECT_MS = 1_000;
/** Talks to engines over HTTP. */
export class HttpModelEngine extends ModelEngine {
    #agent = new Agent({ pipelining: 1, connect: { timeout: CONNECT_MS } });
    async generate(url, call, signal) {
        try {
            const res = await this.#agent.request(this.#options(url, call, signal));
            if (res.statusCode === 200)
                return Ok(new AnswerReader(call).read(res.body));
            const text = (await res.body.text()).slice(0, 200);
            const code = res.statusCode < 500 && res.statusCode !== 429
                ? 'upstream-refused'
                : 'upstream-unavailable';
            return Err(failure(code, `${url}: status ${res.statusCode} ${text}`));
        }
        catch (err) {
            if (wasUnsent(err))
                return Err(failure('upstream-unavailable', url));
            return Err(failure('upstream-lost', `${url}: ${String(err)}`, 'unknown'));
        }
    }
    /** Closes the connections. */
    async close() {
        await this.#agent.destroy();
    }
    #options(url, call, signal) {
        return {
            origin: url,
            method: 'POST',
            path: '/v1/chat/completions',
            headers: { 'content-type': 'application/json', 'x-request-id': call.id },
            headersTimeout: call.firstByteMs,
            bodyTimeout: call.silenceMs,
            signal,
            body: JSON.stringify({
                model: call.model,
                messages: call.messages,
                max_tokens: call.maxTokens,
                priority: call.priority,
                stream: true,
                stream_options: { include_usage: true },
            }),
        };
    }
}
//# sourceMappingURL=httpmodelengine.js.map