/** Server whose answers never end. */
import { createServer } from 'node:net';

import type { Server, Socket } from 'node:net';
import { listenOnFreePort } from './listening.js';
import { ID_PLACEHOLDER } from './rawupstream.js';

/** What the server writes. */
export interface EndlessAnswer {
  /** First bytes; the id of the request stands for a placeholder, see ID_PLACEHOLDER. */
  readonly head: string;
  /** Bytes that follow again and again. */
  readonly piece: string;
  /** Pause between pieces, in milliseconds; 0 for none but what the reader imposes. */
  readonly pauseMs: number;
  /** Header that names a request. */
  readonly idHeader: string;
}

/** Answers every call with bytes that never end. */
export class EndlessServer {
  readonly #sockets = new Set<Socket>();

  /** Bytes that were written. */
  written = 0;

  private constructor(
    private readonly server: Server,
    readonly address: string,
  ) {}

  /**
   * Starts a stand-in.
   * @param answer - what it writes to each connection
   * @returns the stand-in, once it listens
   */
  static async start({ head, piece, pauseMs, idHeader }: EndlessAnswer): Promise<EndlessServer> {
    const server = createServer();
    const endless = new EndlessServer(server, await listenOnFreePort(server));
    server.on('connection', (socket) => {
      endless.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => endless.#sockets.delete(socket));
      const write = (): void => {
        if (socket.destroyed) return;
        endless.written += piece.length;
        const isTaken = socket.write(piece);
        if (!isTaken) socket.once('drain', write);
        else if (pauseMs > 0) setTimeout(write, pauseMs);
        else setImmediate(write);
      };
      socket.once('data', (bytes) => {
        const id =
          new RegExp(`^${idHeader}: (\\S+)`, 'im').exec(bytes.toString('latin1'))?.[1] ?? '';
        socket.write(head.replaceAll(ID_PLACEHOLDER, id));
        write();
      });
    });
    return endless;
  }

  /** Stops the stand-in. */
  async stop(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }
}
