/** HTTP server stand-in that writes its answers slowly, in small chunks. */
import { createServer } from 'node:http';

import type { Server } from 'node:http';
import { listenOnFreePort } from './listening.js';

/** Body of one answer, and its pace. */
export interface SlowAnswer {
  /** Complete body, as ASCII text. */
  readonly body: string;
  /** Size of a chunk, in bytes. */
  readonly pieceBytes: number;
  /** Pause between chunks, in milliseconds. */
  readonly pauseMs: number;
}

/** Answers each request chunk by chunk, with a body chosen by its path. */
export class SlowServer {
  private constructor(
    private readonly server: Server,
    readonly address: string,
    /** Paths of the requests so far. */
    readonly paths: readonly string[],
  ) {}

  /**
   * Starts a server on a free port.
   * @param answerOf - returns the answer for a path
   * @returns the server, once it listens
   */
  static async start(answerOf: (path: string) => SlowAnswer): Promise<SlowServer> {
    const paths: string[] = [];
    const server = createServer((req, res) => {
      const path = req.url ?? '';
      paths.push(path);
      const { body, pieceBytes, pauseMs } = answerOf(path);
      res.setHeader('content-type', 'application/json');
      let at = 0;
      const write = (): void => {
        if (res.destroyed) return;
        res.write(body.slice(at, at + pieceBytes));
        at += pieceBytes;
        if (at >= body.length) res.end();
        else setTimeout(write, pauseMs);
      };
      write();
    });
    return new SlowServer(server, await listenOnFreePort(server), paths);
  }

  /** Closes all connections and the server. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }
}
