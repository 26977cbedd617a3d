/** Server that writes its answers bit by bit. */
import { createServer } from 'node:http';

import type { Server } from 'node:http';
import { listenOnFreePort } from './listening.js';

/** What becomes of the bytes of one answer. */
export interface SlowAnswer {
  /** Whole body; written in pieces. */
  readonly body: string;
  /** Bytes of a piece. */
  readonly pieceBytes: number;
  /** Pause between pieces, in milliseconds. */
  readonly pauseMs: number;
}

/** Answers every call with the same body, piece by piece. */
export class SlowServer {
  private constructor(
    private readonly server: Server,
    readonly address: string,
    /** Paths that were asked for. */
    readonly paths: readonly string[],
  ) {}

  /**
   * Starts a stand-in.
   * @param answerOf - the answer to a path
   * @returns the stand-in, once it listens
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

  /** Stops the stand-in. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }
}
