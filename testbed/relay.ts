/** TCP relay on loopback that can break or stall the connections through it. */
import { connect, createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** Mode of a relay, see Relay.setMode. */
export type RelayMode = 'pass' | 'cut' | 'silent';

/** One relayed connection. */
interface RelayedConnection {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  /** Whether the connection is silenced: it stays open but never forwards bytes again, whatever the mode. */
  isSilenced: boolean;
  /** Whether it is being reset, which must not be turned into an orderly end. */
  isBroken: boolean;
}

/**
 * Resets a connection, without the bytes that wait to be written.
 * @param socket - socket of the connection
 */
export function resetConnection(socket: Socket): void {
  const isWriting = socket.writableLength > 0;
  socket.resetAndDestroy();
  // Otherwise it would be reset after these bytes and an orderly end.
  if (isWriting) socket.destroy();
}

/**
 * Checks at the end of the other side whether it was an orderly one. Node.js reports a reset as an end if bytes that
 * arrived before it are read together with it; the connection then has no other side any more.
 * @param socket - socket that has just emitted "end", and whose remote address was not read before
 * @returns whether it was an orderly end
 */
export function isOrderlyEnd(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}

/** Forwards connections to one target. */
export class Relay {
  readonly #connections = new Set<RelayedConnection>();

  readonly #server: Server;

  #mode: RelayMode = 'pass';

  private constructor(
    private host: string,
    private port: number,
  ) {
    this.#server = createServer((near) => this.#accept(near));
  }

  /**
   * Starts a relay on a free port.
   * @param host - host of the target
   * @param port - port of the target
   * @returns the relay, once it listens
   */
  static async start(host: string, port: number): Promise<Relay> {
    const relay = new Relay(host, port);
    await new Promise<void>((resolve) => {
      relay.#server.listen(0, '127.0.0.1', resolve);
    });
    return relay;
  }

  /** Address of the relay, "IP:port". */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /**
   * Forwards new connections to another target; open ones keep theirs.
   * @param host - host of the target
   * @param port - port of the target
   */
  retarget(host: string, port: number): void {
    this.host = host;
    this.port = port;
  }

  /**
   * Sets the mode.
   * "cut" resets open and new connections; "silent" accepts and keeps connections but
   * drops their bytes for good; "pass" forwards new connections.
   * @param mode - mode from now on
   */
  setMode(mode: RelayMode): void {
    this.#mode = mode;
    if (mode === 'cut') this.#connections.forEach((pair) => Relay.#reset(pair));
    if (mode === 'silent') this.silenceOpen();
  }

  /** Silences all open connections permanently; new ones follow the mode. */
  silenceOpen(): void {
    this.#connections.forEach((pair) => {
      const state = pair;
      state.isSilenced = true;
    });
  }

  /** Closes all connections and stops the relay. */
  async stop(): Promise<void> {
    this.#connections.forEach((pair) => Relay.#destroy(pair));
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  static #destroy({ clientSocket: near, targetSocket: far }: RelayedConnection): void {
    near.destroy();
    far.destroy();
  }

  /** Ends a connection that broke: an orderly end would complete an answer that has no length. */
  static #reset(pair: RelayedConnection): void {
    const broken = pair;
    broken.isBroken = true;
    const { clientSocket: near, targetSocket: far } = pair;
    [near, far].forEach((socket) => {
      socket.unref();
      if (socket.writableEnded) socket.destroy();
      else resetConnection(socket);
    });
  }

  #accept(near: Socket): void {
    if (this.#mode === 'cut') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.port, this.host);
    const pair: RelayedConnection = {
      clientSocket: near,
      targetSocket: far,
      isSilenced: this.#mode === 'silent',
      isBroken: false,
    };
    this.#connections.add(pair);
    this.#forward(pair, near, far);
    this.#forward(pair, far, near);
  }

  #forward(pair: RelayedConnection, from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      if (!pair.isSilenced) to.write(chunk);
    });
    from.on('end', () => {
      if (pair.isSilenced) return;
      if (isOrderlyEnd(from)) to.end();
      else Relay.#reset(pair);
    });
    from.on('error', () => Relay.#reset(pair));
    from.on('close', () => {
      if (pair.isSilenced) return;
      this.#connections.delete(pair);
      if (!pair.isBroken) to.destroy();
    });
  }
}
