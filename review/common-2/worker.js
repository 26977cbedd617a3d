/** Stand-in of a worker, after PROTOCOL.md and the news pages. */
import { createServer } from 'node:http';
import { freePort } from './daemon.js';

export class Worker {
  /** Requests that reached it. */
  arrivals = [];

  isLeaving = false;

  limit = undefined;

  /** Part of a prompt on which it crashes as it begins to write an answer; undefined for none. */
  deadlyPart = undefined;

  isUp = false;

  #sockets = new Set();

  constructor({ id, service, store, workMs = 20, events = 0, eventTokens = 1, gapMs = 5, zone }) {
    Object.assign(this, { id, service, store, workMs, events, eventTokens, gapMs, zone });
  }

  async start({ isRegistered = true, capacity = 64 } = {}) {
    this.port ??= await freePort();
    this.born = Date.now();
    this.capacity = capacity;
    await this.#listen();
    if (isRegistered) this.register();
    return this;
  }

  get entry() {
    return {
      Service: this.service,
      Address: `127.0.0.1:${this.port}`,
      Zone: this.zone,
      Version: 'v1',
      Capacity: this.capacity,
      State: 'ready',
      WarmupLeftMs: 0,
      Sequence: 1,
      born: this.born,
    };
  }

  register(change = {}) {
    return this.store.put(`servers/${this.id}`, { ...this.entry, ...change });
  }

  unregister() {
    return this.store.remove(`servers/${this.id}`);
  }

  /** Ends as a process does that crashes: all its connections end, and nothing listens. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    this.server.close();
    this.#sockets.forEach((socket) => socket.destroy());
    this.#sockets.clear();
  }

  stop() {
    this.crash();
  }

  async #listen() {
    this.server = createServer({ keepAliveTimeout: 30_000 }, (req, res) => this.#serve(req, res));
    this.server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, '127.0.0.1', resolve);
    });
    this.isUp = true;
  }

  #serve(req, res) {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => this.#run(req, res, Buffer.concat(chunks)));
  }

  #head(req) {
    return {
      'Attempt-Id': req.headers['attempt-id'] ?? '',
      'Response-Signature': `sig.${this.id}.${req.headers['attempt-id']}`,
      'Instance-Load': `1,0,${this.capacity}`,
      'Keep-Alive': 'timeout=30',
      ...(this.isLeaving && { 'Server-Leaving': '1' }),
      ...(this.limit !== undefined && { 'Server-Limit': String(this.limit) }),
    };
  }

  #run(req, res, body) {
    const arrival = {
      at: performance.now(),
      worker: this.id,
      id: req.headers['attempt-id'],
      tenant: req.headers.tenant,
      prompt: req.headers['prompt-prefix'],
      path: req.url,
      bytes: body.length,
    };
    const target = req.headers['target-instance'];
    if (target !== undefined && target !== this.id) {
      res.writeHead(421, { 'Instance-Id': this.id, 'content-length': 0 });
      res.end();
      return;
    }
    this.arrivals.push(arrival);
    this.onArrival?.(arrival);
    setTimeout(() => this.#answer(req, res), this.workMs);
  }

  #answer(req, res) {
    if (res.destroyed || !this.isUp) return;
    const parts = (req.headers['prompt-prefix'] ?? '').split(',').map((one) => one.split(':')[0]);
    if (this.deadlyPart !== undefined && parts.slice(0, -1).includes(this.deadlyPart)) {
      this.onDeadly?.(this, req, res);
      return;
    }
    if (this.events === 0) {
      const text = JSON.stringify({ worker: this.id, attempt: req.headers['attempt-id'] });
      res.writeHead(200, {
        ...this.#head(req),
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      res.end(text);
      return;
    }
    this.beginStream(req, res);
  }

  /** Writes the head and the events of a stream, the first one at once. */
  beginStream(req, res) {
    res.writeHead(200, { ...this.#head(req), 'content-type': 'text/event-stream' });
    this.#stream(res, Number(req.headers['last-event-id'] ?? 0));
  }

  #stream(res, from) {
    let next = from + 1;
    const step = () => {
      if (res.destroyed) return;
      if (next > this.events) {
        res.end();
        return;
      }
      res.write(`id: ${next}\ndata: piece ${next}\n\n`);
      next += 1;
      setTimeout(step, this.gapMs);
    };
    step();
  }
}
