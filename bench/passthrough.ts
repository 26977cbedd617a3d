/** Baseline proxy: forwards requests from Fastify to undici without any further work. */
import Fastify from 'fastify';
import { Agent } from 'undici';

const [port, target = ''] = process.argv.slice(2);
const agent = new Agent({ pipelining: 1 });
const app = Fastify();
app.removeAllContentTypeParsers();
app.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, done) => done(null, body));
app.post('/v1/chat/completions', async (req, reply) => {
  const res = await agent.request({
    origin: target,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'content-type': 'application/json', 'x-request-id': 'pass' },
    body: req.body as Buffer,
  });
  return reply.status(res.statusCode).header('content-type', 'text/event-stream').send(res.body);
});
app.get('/healthz', async () => ({ status: 'ok' }));
await app.listen({ host: '127.0.0.1', port: Number(port) });
