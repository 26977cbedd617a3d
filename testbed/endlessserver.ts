/** HTTP server stand-in whose answers never end. */
import { createServer } from 'node:net';

import type { Server, Socket } from 'node:net';
import { listenOnFreePort } from './listening.js';
import { ID_PLACEHOLDER } from './rawupstream.js';

/** Bytes that the server writes, and their pace. */
export interface EndlessAnswer {
  /** Bytes before the repeated ones; ID_PLACEHOLDER is replaced by the request id. */
  readonly head: string;
  /** Bytes that are repeated without end. */
  readonly piece: string;
  /** Pause between repetitions, in milliseconds; 0 writes as fast as the reader accepts. */
  readonly pauseMs: number;
  /** Request header that carries the request id. */
  readonly idHeader: string;
}

/** Answers the first request of each connection with an endless byte stream. */
export class EndlessServer {
  readonly #sockets = new Set<Socket>();

  /** Number of repeated bytes written so far, on all connections. */
  written = 0;

  private constructor(
    private readonly server: Server,
    readonly address: string,
  ) {}

  /**
   * Starts a server on a free port.
   * @param answer - bytes to write to each connection
   * @returns the server, once it listens
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

  /** Closes all connections and the server. */
  async stop(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }
}
