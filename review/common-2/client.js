/** Stand-in of a client, after PROTOCOL.md. */
import { Agent, request } from 'node:http';

let attempts = 0;

let listener = () => undefined;

/** Sets what is called with each answer. */
export function onAnswer(called) {
  listener = called;
}

/** Returns the id of a new attempt. */
export function attemptId() {
  attempts += 1;
  return `a${String(attempts).padStart(6, '0')}${Math.random().toString(16).slice(2, 10)}`;
}

/** Returns an agent whose connections are kept for the next request. */
export function keptConnections(maxSockets = 4) {
  return new Agent({ keepAlive: true, maxSockets });
}

/** Sends one attempt and resolves with what was answered; never rejects. */
export function send({
  port,
  host,
  path,
  method = 'GET',
  key,
  deadlineMs = 1_500,
  headers = {},
  body,
  agent = false,
  id = attemptId(),
}) {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (result) => {
      const answer = { id, sentAt, endedAt: performance.now(), port, path, ...result };
      listener({ ...answer, method, key });
      resolve(answer);
    };
    const req = request(
      {
        host: '127.0.0.1',
        port,
        path,
        method,
        agent,
        headers: {
          host,
          'Attempt-Id': id,
          'Deadline-Ms': String(deadlineMs),
          ...(key !== undefined && { 'X-Api-Key': key }),
          ...(body !== undefined && { 'content-length': Buffer.byteLength(body) }),
          ...headers,
        },
      },
      (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('error', () => undefined);
        res.on('close', () => {
          finish({
            status: res.statusCode,
            signature: res.headers['response-signature'],
            retryAfter: res.headers['retry-after'],
            isComplete: res.complete,
            text: Buffer.concat(chunks).toString(),
          });
        });
      },
    );
    req.setTimeout(deadlineMs, () => req.destroy(new Error('deadline')));
    req.on('error', (err) => finish({ status: 0, error: String(err.message) }));
    req.end(body);
  });
}
