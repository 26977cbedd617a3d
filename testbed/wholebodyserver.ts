/** HTTP server stand-in that reads each request to its end and answers after a time. */
import { createServer } from 'node:http';

import type { Server } from 'node:http';
import { listenOnFreePort } from './listening.js';

/** A request that was read to its end. */
export interface WholeRequest {
  readonly id: string;
  readonly bytes: number;
}

/** Upstream that counts the bodies of its requests. */
export class WholeBodyServer {
  private constructor(
    private readonly server: Server,
    /** Address, "IP:port". */
    readonly address: string,
    /** Requests so far. */
    readonly requests: readonly WholeRequest[],
  ) {}

  /**
   * Starts a server on a free port.
   * @param answerMs - time from the end of a request to its answer, in milliseconds
   * @param idHeader - name of the header that holds the id of a request, and is returned with its answer
   * @returns the server, once it listens
   */
  static async start(answerMs: number, idHeader: string): Promise<WholeBodyServer> {
    const requests: WholeRequest[] = [];
    const server = createServer((req, res) => {
      const id = String(req.headers[idHeader.toLowerCase()]);
      let bytes = 0;
      req.on('data', (part: Buffer) => {
        bytes += part.length;
      });
      req.on('end', () => {
        requests.push({ id, bytes });
        const headers = { [idHeader]: id, 'content-length': 2 };
        setTimeout(() => res.writeHead(200, headers).end('ok'), answerMs);
      });
    });
    // Connections that the daemon keeps stay open.
    server.keepAliveTimeout = 0;
    return new WholeBodyServer(server, await listenOnFreePort(server), requests);
  }

  /** Closes all connections and the server. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }
}
