/** Upstream stand-in that crashes when it begins to answer a prompt with a certain part. */
import { createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** Time from a request to the beginning of its answer, in milliseconds. */
const PREFILL_MS = 20;

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const EVENT = 'id: 1\n\n';
const CHUNKED_BODY = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\n\r\n`;

/** Answers each request with one event, until it crashes. */
export class CrashingUpstream {
  readonly #sockets = new Set<Socket>();

  /** Requests that were received, heads and bodies as text. */
  readonly requests: string[] = [];

  /** Whether it has crashed: it has closed all connections and accepts no more. */
  isDown = false;

  private constructor(
    private readonly server: Server,
    private readonly deadlyPart: string,
    private readonly idHeader: string,
    private readonly isFramed: boolean,
  ) {}

  /**
   * Starts a stand-in.
   * @param deadlyPart - id of the prompt part on which it crashes
   * @param idHeader - header of requests and answers that carries the id of the request
   * @param isFramed - whether answers are chunked; otherwise they end with their connections
   * @returns the stand-in, once it listens
   */
  static async start(
    deadlyPart: string,
    idHeader: string,
    isFramed = true,
  ): Promise<CrashingUpstream> {
    const server = createServer();
    const upstream = new CrashingUpstream(server, deadlyPart, idHeader, isFramed);
    server.on('connection', (socket) => upstream.#accept(socket));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return upstream;
  }

  /** Address, "IP:port". */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Closes all connections and the listener. */
  stop(): void {
    this.isDown = true;
    this.#sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => this.#answer(socket, bytes.toString('latin1')));
  }

  #answer(socket: Socket, request: string): void {
    this.requests.push(request);
    const id = new RegExp(`${this.idHeader}: (\\S+)`, 'i').exec(request)?.[1] ?? '';
    setTimeout(() => {
      if (this.isDown) return;
      socket.write(`${HEAD}${this.isFramed ? CHUNKED : ''}${this.idHeader}: ${id}\r\n\r\n`);
      if (request.includes(`${this.deadlyPart}:`)) setTimeout(() => this.stop(), PREFILL_MS);
      else if (this.isFramed) socket.write(CHUNKED_BODY);
      else socket.end(EVENT);
    }, PREFILL_MS);
  }
}
