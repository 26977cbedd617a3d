/** A switchable TCP relay on loopback: cuts, silences and delays the connections through it. */
import { connect, createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** What the relay does with the bytes that reach it. */
export type RelayMode = 'pass' | 'cut' | 'silent';

/** One relayed connection. */
interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Silenced connections stay open and carry nothing, for good. */
  silenced: boolean;
}

/** Passes connections on to one target. */
export class Relay {
  readonly #pairs = new Set<Pair>();

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
   * Sends new connections to another target.
   * @param host - host of the target
   * @param port - port of the target
   */
  retarget(host: string, port: number): void {
    this.host = host;
    this.port = port;
  }

  /**
   * Switches the relay.
   * "cut" resets open connections and new ones; "silent" keeps them open and drops
   * their bytes; "pass" lets new connections through.
   * @param mode - what to do from now on
   */
  set(mode: RelayMode): void {
    this.#mode = mode;
    if (mode === 'cut') this.#pairs.forEach((pair) => Relay.#destroy(pair));
    if (mode === 'silent') this.silenceOpen();
  }

  /** Silences the connections that are open for good; new ones still pass. */
  silenceOpen(): void {
    this.#pairs.forEach((pair) => {
      const state = pair;
      state.silenced = true;
    });
  }

  /** Stops the relay. */
  async stop(): Promise<void> {
    this.#pairs.forEach((pair) => Relay.#destroy(pair));
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  static #destroy({ near, far }: Pair): void {
    near.destroy();
    far.destroy();
  }

  #accept(near: Socket): void {
    if (this.#mode === 'cut') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.port, this.host);
    const pair: Pair = { near, far, silenced: this.#mode === 'silent' };
    this.#pairs.add(pair);
    this.#join(pair, near, far);
    this.#join(pair, far, near);
  }

  #join(pair: Pair, from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      if (!pair.silenced) to.write(chunk);
    });
    from.on('end', () => {
      if (!pair.silenced) to.end();
    });
    from.on('error', () => Relay.#destroy(pair));
    from.on('close', () => {
      if (pair.silenced) return;
      this.#pairs.delete(pair);
      to.destroy();
    });
  }
}
