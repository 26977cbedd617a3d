/** A caller: sends requests and keeps what it received, byte for byte. */
import { request } from 'undici';
function eventsOf(text) {
    return text
        .split('\n\n')
        .filter((event) => event.startsWith('data: '))
        .map((event) => event.slice('data: '.length));
}
function contentOf(event) {
    const parsed = JSON.parse(event);
    return parsed.choices?.[0]?.delta?.content ?? '';
}
function errorOf(status, text) {
    if (text === '')
        return undefined;
    if (status !== 200)
        return JSON.parse(text).error;
    const last = eventsOf(text).at(-1);
    if (last?.startsWith('{"error"'))
        return JSON.parse(last).error;
    return undefined;
}
function summarise(status, key, text, firstMs) {
    const events = status === 200 ? eventsOf(text) : [];
    const content = events
        .filter((event) => event !== '[DONE]' && !event.startsWith('{"error"'))
        .map(contentOf)
        .join('');
    const error = errorOf(status, text);
    return {
        status,
        key,
        text,
        content,
        whole: events.at(-1) === '[DONE]',
        code: error?.code,
        outcome: error?.outcome,
        firstMs,
    };
}
/**
 * Sends a streamed model request and reads the answer to its end.
 * @param ask - the request
 * @returns what was received; status 0 if the connection broke before the headers
 */
export async function askModel(ask) {
    const began = performance.now();
    let text = '';
    let status = 0;
    let key = ask.key ?? '';
    let firstMs = 0;
    try {
        const res = await request(`${ask.url}/v1/chat/completions`, {
            method: 'POST',
            headers: {
                authorization: `Bearer ${ask.apiKey}`,
                'content-type': 'application/json',
                ...(ask.key === undefined ? {} : { 'idempotency-key': ask.key }),
            },
            body: JSON.stringify({
                model: ask.model,
                stream: true,
                max_tokens: ask.maxTokens,
                messages: [{ role: 'user', content: ask.prompt }],
            }),
            signal: ask.signal ?? null,
            headersTimeout: 60_000,
            bodyTimeout: 60_000,
        });
        status = res.statusCode;
        key = String(res.headers['idempotency-key'] ?? key);
        for await (const chunk of res.body) {
            if (firstMs === 0)
                firstMs = performance.now() - began;
            text += String(chunk);
            ask.onChunk?.(String(chunk));
        }
    }
    catch {
        return { ...summarise(status === 200 ? 200 : 0, key, '', firstMs), text, whole: false };
    }
    return summarise(status, key, text, firstMs);
}
/**
 * Calls a plain service.
 * @param call - the call
 * @returns what was received; status 0 if the connection broke
 */
export async function callService(call) {
    try {
        const res = await request(`${call.url}/services/${call.route}${call.path}`, {
            method: 'POST',
            headers: {
                authorization: `Bearer ${call.apiKey}`,
                'content-type': 'application/json',
                'idempotency-key': call.key,
            },
            body: JSON.stringify(call.body),
            headersTimeout: 60_000,
        });
        const text = await res.body.text();
        const { error } = JSON.parse(text);
        return {
            status: res.statusCode,
            key: call.key,
            text,
            content: text,
            whole: res.statusCode === 200,
            code: error?.code,
            outcome: error?.outcome,
            firstMs: 0,
        };
    }
    catch {
        return { ...summarise(0, call.key, '', 0), whole: false };
    }
}
//# sourceMappingURL=caller.js.map