/** Stand-in for a worker: a sound HTTP server that registers itself in the store and counts what it runs. */
import { createServer } from 'node:http';

import { listen } from './net.js';

/** Runs requests one after the other on each connection. */
export class Worker {
  /** Ids of the requests that it has run, in order. */
  runs = [];

  /** Number of requests that it has rejected without running them. */
  rejected = 0;

  #born = Date.now();

  #sequence = 0;

  /**
   * Starts a worker.
   * @param options - id, service, host and capacity, the store, and the handler of a request that is meant for this worker
   */
  static async start({ id, service, host, zone, capacity, store, handle }) {
    const worker = new Worker();
    Object.assign(worker, { id, service, host, zone, capacity, store, handle });
    worker.server = createServer((req, res) => {
      worker.#serve(req, res).catch(() => res.destroy());
    });
    worker.sockets = new Set();
    worker.server.on('connection', (socket) => {
      worker.sockets.add(socket);
      socket.on('close', () => worker.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    // Idle connections stay open unless the handler closes them.
    worker.server.keepAliveTimeout = 0;
    worker.port = await listen(worker.server, host);
    worker.register();
    worker.beat = setInterval(() => worker.register(), 1200);
    return worker;
  }

  /** Writes its entry. */
  register(state = 'ready') {
    this.#sequence += 1;
    this.store.put(`servers/${this.id}`, {
      Service: this.service,
      Address: `${this.host}:${this.port}`,
      Zone: this.zone,
      Version: 'v1',
      Capacity: this.capacity,
      State: state,
      WarmupLeftMs: 0,
      Sequence: this.#sequence,
      born: this.#born,
    });
  }

  /** Ends as a crashed process does: its connections are reset, and nothing listens any more. */
  crash() {
    clearInterval(this.beat);
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.server.close();
  }

  /** Starts again at the same address, under the same id. */
  async restart() {
    this.#born = Date.now();
    this.#sequence = 0;
    await listen(this.server, this.host, this.port);
    this.register();
    this.beat = setInterval(() => this.register(), 1200);
  }

  stop() {
    clearInterval(this.beat);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Headers of the answer to a request that was run. */
  headersOf(req) {
    const id = req.headers['attempt-id'];
    return { 'attempt-id': id, 'response-signature': `signed-${id}` };
  }

  /** Answers that the request was not run. */
  reject(req, res, status) {
    this.rejected += 1;
    res.writeHead(status, {
      'attempt-id': req.headers['attempt-id'],
      'not-executed': '1',
      'content-length': 0,
    });
    res.end();
  }

  async #serve(req, res) {
    for await (const chunk of req) void chunk;
    const target = req.headers['target-instance'];
    if (target !== undefined && target !== this.id) {
      res.writeHead(421, { 'instance-id': this.id, 'content-length': 0 });
      res.end();
      return;
    }
    await this.handle(req, res, this);
  }
}
