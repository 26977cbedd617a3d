/** Model engine for load tests in a separate process; each request states how it is streamed. */
import { createServer } from 'node:http';

import type { IncomingMessage, ServerResponse } from 'node:http';

/** How an answer is streamed; sent as JSON in the content of the first message. */
export interface StreamPlan {
  /** Time to the first token, in milliseconds. */
  readonly firstMs: number;
  /** Time between writes, in milliseconds; 0 writes as fast as the connection accepts data. */
  readonly tokenMs: number;
  /** Tokens per write. */
  readonly burst: number;
}

interface Body {
  readonly max_tokens: number;
  readonly messages: readonly { readonly content: string }[];
}

async function readBody(req: IncomingMessage): Promise<Body> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString()) as Body;
}

function tail(id: string, tokens: number): string {
  const usage = { prompt_tokens: 8, completion_tokens: tokens };
  const last = JSON.stringify({ id, model: 'load', choices: [], usage });
  return `data: ${last}\n\ndata: [DONE]\n\n`;
}

function stream(res: ServerResponse, id: string, body: Body): void {
  const plan = JSON.parse(body.messages[0]?.content ?? '{}') as StreamPlan;
  const choice = { index: 0, delta: { content: 'token ' } };
  const event = `data: ${JSON.stringify({ id, model: 'load', choices: [choice] })}\n\n`;
  let left = body.max_tokens;
  let timer: NodeJS.Timeout | undefined;
  const next = (): void => {
    if (res.destroyed) return;
    const count = Math.min(plan.burst, left);
    left -= count;
    const more = res.write(event.repeat(count));
    if (left === 0) res.end(tail(id, body.max_tokens));
    else if (plan.tokenMs > 0) timer = setTimeout(next, plan.tokenMs);
    else if (more) setImmediate(next);
    else res.once('drain', next);
  };
  res.writeHead(200, { 'content-type': 'text/event-stream' });
  res.flushHeaders();
  res.on('close', () => clearTimeout(timer));
  timer = setTimeout(next, plan.firstMs);
}

let open = 0;

const server = createServer((req, res) => {
  if (req.method === 'GET') {
    res.end(JSON.stringify({ open }));
    return;
  }
  open += 1;
  res.once('close', () => {
    open -= 1;
  });
  void readBody(req).then((body) => stream(res, String(req.headers['x-request-id']), body));
});
server.listen(Number(process.argv[2]), '127.0.0.1', 1_024);
