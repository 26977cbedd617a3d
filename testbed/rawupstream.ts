/** Upstream stand-in that writes raw bytes, for answers that break rules of HTTP. */
import { createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** Stands for the id of the attempt in prepared bytes. */
export const ID_PLACEHOLDER = '{id}';

/** What the stand-in does with one request. */
export interface RawAnswer {
  /** Bytes to write, as text; the id of the attempt stands for a placeholder, see ID_PLACEHOLDER. */
  readonly text: string;
  /** What happens to the connection afterwards. */
  readonly then: 'keep' | 'close' | 'reset';
}

/** Pause between the bytes and the end of the connection, in milliseconds. */
const CLOSE_DELAY_MS = 20;

/** Answers each request with the next prepared bytes. */
export class RawUpstream {
  readonly #sockets = new Set<Socket>();

  /** Requests as they arrived, heads and bodies as text. */
  readonly requests: string[] = [];

  private constructor(
    private readonly server: Server,
    private readonly answers: readonly RawAnswer[],
    private readonly idHeader: string,
  ) {}

  /**
   * Starts a stand-in.
   * @param answers - answers in the order of the requests; the last one repeats
   * @param idHeader - header that names a request
   * @returns the stand-in, once it listens
   */
  static async start(answers: readonly RawAnswer[], idHeader: string): Promise<RawUpstream> {
    const server = createServer();
    const upstream = new RawUpstream(server, answers, idHeader);
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

  /** Connections that are open. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** Stops the stand-in. */
  async stop(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => this.#answer(socket, bytes.toString('latin1')));
  }

  #answer(socket: Socket, request: string): void {
    const answer = this.answers[Math.min(this.requests.length, this.answers.length - 1)];
    this.requests.push(request);
    if (!answer) return;
    const id = new RegExp(`${this.idHeader}: (\\S+)`, 'i').exec(request)?.[1] ?? '';
    socket.write(answer.text.replaceAll(ID_PLACEHOLDER, id));
    if (answer.then === 'keep') return;
    setTimeout(() => {
      if (answer.then === 'reset') socket.resetAndDestroy();
      else socket.end();
    }, CLOSE_DELAY_MS);
  }
}
