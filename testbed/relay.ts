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
  static #reset({ clientSocket: near, targetSocket: far }: RelayedConnection): void {
    [near, far].forEach((socket) => {
      // A reset waits until the written bytes are sent, and fails if the socket is destroyed meanwhile.
      socket.unref();
      if (socket.writableEnded) socket.destroy();
      else socket.resetAndDestroy();
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
      if (!pair.isSilenced) to.end();
    });
    from.on('error', () => Relay.#reset(pair));
    from.on('close', () => {
      if (pair.isSilenced) return;
      this.#connections.delete(pair);
      to.destroy();
    });
  }
}
