/** Upstream stand-in that writes raw bytes, for answers that violate HTTP. */
import { createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** Placeholder in an answer, replaced by the id in the request's id header. */
export const ID_PLACEHOLDER = '{id}';

/** Answer to one request. */
export interface RawAnswer {
  /** Bytes to write, as text; ID_PLACEHOLDER is replaced by the request's id. */
  readonly text: string;
  /** What the server does with the connection after it has written the bytes. */
  readonly then: 'keep' | 'close' | 'reset';
  /** Time from the request to the answer, in milliseconds; 0 if it is left out. */
  readonly afterMs?: number;
  /** Further bytes, and the time after the first ones at which they are written, in milliseconds; none if it is left out. */
  readonly rest?: { readonly text: string; readonly afterMs: number };
  /** Time between the last byte and the end of the connection, in milliseconds; 20 if it is left out. */
  readonly holdMs?: number;
}

/** Default delay between the last byte and the end of the connection, in milliseconds. */
const DEFAULT_HOLD_MS = 20;

/** Answers each request with the next prepared answer. */
export class RawUpstream {
  readonly #sockets = new Set<Socket>();

  /** Received data, one entry per read from a socket, heads and bodies as text. */
  readonly requests: string[] = [];

  private constructor(
    private readonly server: Server,
    private readonly answers: readonly RawAnswer[],
    private readonly idHeader: string,
    private readonly nextAnswer: (() => RawAnswer) | undefined,
  ) {}

  /**
   * Starts a stand-in.
   * @param answers - answers in the order of the requests; the last one repeats
   * @param idHeader - request header that carries the id
   * @param nextAnswer - returns the next answer, if several stand-ins give the same answers in turn
   * @returns the stand-in, once it listens
   */
  static async start(
    answers: readonly RawAnswer[],
    idHeader: string,
    nextAnswer?: () => RawAnswer,
  ): Promise<RawUpstream> {
    const server = createServer();
    const upstream = new RawUpstream(server, answers, idHeader, nextAnswer);
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

  /** Number of open connections. */
  get connections(): number {
    return this.#sockets.size;
  }

  /**
   * Ends all open connections at once.
   * @param how - whether they are closed or reset
   */
  dropConnections(how: 'close' | 'reset'): void {
    this.#sockets.forEach((socket) => {
      if (how === 'reset') socket.resetAndDestroy();
      else socket.destroy();
    });
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
    const prepared = this.answers[Math.min(this.requests.length, this.answers.length - 1)];
    const answer = this.nextAnswer?.() ?? prepared;
    this.requests.push(request);
    if (!answer) return;
    const id = new RegExp(`${this.idHeader}: (\\S+)`, 'i').exec(request)?.[1] ?? '';
    if (answer.afterMs === undefined) RawUpstream.#write(socket, answer, id);
    else setTimeout(() => RawUpstream.#write(socket, answer, id), answer.afterMs);
  }

  static #write(socket: Socket, answer: RawAnswer, id: string): void {
    socket.write(answer.text.replaceAll(ID_PLACEHOLDER, id));
    const { rest } = answer;
    if (rest) setTimeout(() => socket.write(rest.text), rest.afterMs);
    if (answer.then === 'keep') return;
    const endConnection = (): void => {
      if (answer.then === 'reset') socket.resetAndDestroy();
      else socket.end();
    };
    const { holdMs = DEFAULT_HOLD_MS } = answer;
    if (holdMs === 0) endConnection();
    else setTimeout(endConnection, holdMs);
  }
}
