/** A fast engine for load: streams events as its requests ask, in a process of its own. */
import { createServer } from 'node:http';
async function readBody(req) {
    const chunks = [];
    for await (const chunk of req)
        chunks.push(chunk);
    return JSON.parse(Buffer.concat(chunks).toString());
}
function tail(id, tokens) {
    const usage = { prompt_tokens: 8, completion_tokens: tokens };
    const last = JSON.stringify({ id, model: 'load', choices: [], usage });
    return `data: ${last}\n\ndata: [DONE]\n\n`;
}
function stream(res, id, body) {
    const plan = JSON.parse(body.messages[0]?.content ?? '{}');
    const choice = { index: 0, delta: { content: 'token ' } };
    const event = `data: ${JSON.stringify({ id, model: 'load', choices: [choice] })}\n\n`;
    let left = body.max_tokens;
    let timer;
    const next = () => {
        if (res.destroyed)
            return;
        const count = Math.min(plan.burst, left);
        left -= count;
        const more = res.write(event.repeat(count));
        if (left === 0)
            res.end(tail(id, body.max_tokens));
        else if (plan.tokenMs > 0)
            timer = setTimeout(next, plan.tokenMs);
        else if (more)
            setImmediate(next);
        else
            res.once('drain', next);
    };
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    res.flushHeaders();
    res.on('close', () => clearTimeout(timer));
    timer = setTimeout(next, plan.firstMs);
}
const server = createServer((req, res) => {
    void readBody(req).then((body) => stream(res, String(req.headers['x-request-id']), body));
});
server.listen(Number(process.argv[2]), '127.0.0.1', 1_024);
//# sourceMappingURL=loadengine.js.map