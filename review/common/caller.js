/** Stand-in for a client: keeps one connection to a daemon while that is possible and reads each answer to its end. */
import { Agent, request } from 'node:http';

/** Sends requests one after the other. */
export class Caller {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  #sent = 0;

  constructor(name, daemon) {
    this.name = name;
    this.daemon = daemon;
  }

  /**
   * Sends a request.
   * @returns its id, the status (0 if the connection ended without one), the body, whether the answer is complete, and
   * whether the connection had served a request before
   */
  call({
    method = 'POST',
    path,
    host = 'review.example',
    headers = {},
    body,
    deadlineMs = 15_000,
  }) {
    this.#sent += 1;
    const id = `${this.name}-${this.#sent}`;
    const sentAt = performance.now();
    return new Promise((resolve) => {
      let status = 0;
      let text = '';
      let req;
      let timer;
      const finish = (isComplete, why) => {
        clearTimeout(timer);
        const tookMs = Math.round(performance.now() - sentAt);
        resolve({
          id,
          status,
          text,
          isComplete,
          why,
          isKept: req.reusedSocket,
          tookMs,
          headers: this.last,
        });
      };
      req = request(
        {
          agent: this.#agent,
          host: this.daemon.ip,
          port: this.daemon.port,
          method,
          path,
          headers: {
            host,
            'attempt-id': id,
            'deadline-ms': deadlineMs,
            ...(body !== undefined && { 'content-length': Buffer.byteLength(body) }),
            ...headers,
          },
        },
        (res) => {
          status = res.statusCode;
          this.last = res.headers;
          res.on('data', (chunk) => {
            text += chunk;
          });
          res.on('end', () => finish(res.complete, 'end'));
          res.on('error', (err) => finish(false, err.message));
          res.on('close', () => finish(res.complete, 'close'));
        },
      );
      timer = setTimeout(() => req.destroy(new Error('deadline')), deadlineMs);
      req.on('error', (err) => finish(false, err.message));
      req.end(body);
    });
  }

  stop() {
    this.#agent.destroy();
  }
}
