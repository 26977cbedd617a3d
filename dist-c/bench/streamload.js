/** Drives many streams at one address and measures what arrives. */
import { build } from 'hdr-histogram-js';
import { Agent } from 'undici';
/** Microseconds in one millisecond; histograms keep whole numbers. */
const MICROSECONDS = 1_000;
const DONE = Buffer.from('[DONE]');
async function runStream(agent, options, firsts) {
    const { plan, tokens, url, apiKey } = options;
    const began = performance.now();
    const res = await agent.request({
        origin: url,
        method: 'POST',
        path: '/v1/chat/completions',
        headers: { authorization: `Bearer ${apiKey}`, 'content-type': 'application/json' },
        body: JSON.stringify({
            model: 'load',
            stream: true,
            max_tokens: tokens,
            messages: [{ role: 'user', content: JSON.stringify(plan) }],
        }),
        headersTimeout: 60_000,
        bodyTimeout: 60_000,
    });
    let bytes = 0;
    let last = DONE;
    for await (const chunk of res.body) {
        if (bytes === 0) {
            const delay = performance.now() - began - plan.firstMs;
            firsts.recordValue(Math.max(1, Math.round(delay * MICROSECONDS)));
        }
        last = chunk;
        bytes += last.length;
    }
    return { whole: last.includes(DONE), bytes };
}
/**
 * Runs a load to its end.
 * @param options - what is sent
 * @returns what arrived
 */
export async function runLoad(options) {
    const agent = new Agent({ pipelining: 1 });
    const firsts = build();
    const began = performance.now();
    const streams = await Promise.all(Array.from({ length: options.streams }, async (_, index) => {
        const wait = (index * options.rampMs) / options.streams;
        await new Promise((resolve) => {
            setTimeout(resolve, wait);
        });
        return runStream(agent, options, firsts);
    }));
    const seconds = (performance.now() - began) / 1_000;
    await agent.close();
    return {
        firstP95Ms: firsts.getValueAtPercentile(95) / MICROSECONDS,
        tokensPerSecond: (options.streams * options.tokens) / seconds,
        whole: streams.filter(({ whole }) => whole).length,
    };
}
//# sourceMappingURL=streamload.js.map