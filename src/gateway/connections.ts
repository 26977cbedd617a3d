/** Pool of connections to one upstream. */
import { ChunkShare } from './chunkshare.js';
import { UpstreamConnection } from './upstreamconnection.js';

/** Maximum number of idle connections that are kept to one upstream. */
const MAX_IDLE_CONNECTIONS = 16;

/** Keeps idle connections to one upstream for reuse. */
export class UpstreamConnections {
  readonly #idle: UpstreamConnection[] = [];

  /** Part of the event loop for small chunks of answers on these connections. */
  readonly chunkShare = new ChunkShare();

  /** Number of connections opened so far. */
  opened = 0;

  /** Number of connections that are open now, idle or in use. */
  open = 0;

  /**
   * Creates an empty pool.
   * @param address - "IP:port" of the upstream
   */
  constructor(private readonly address: string) {}

  /**
   * Returns a connection for one request: of the idle ones that are still open, the most recently used; a new
   * one if there is none.
   * @returns the connection; the user must release or destroy it
   * @throws TypeError if the address is not valid
   */
  take(): UpstreamConnection {
    for (let found = this.#idle.pop(); found; found = this.#idle.pop()) {
      if (found.isOpen) return found;
    }
    const connection = new UpstreamConnection(
      this.address,
      (isOpen) => {
        this.open += isOpen ? 1 : -1;
      },
      (gone) => this.#remove(gone),
    );
    this.opened += 1;
    return connection;
  }

  /**
   * Puts a connection back into the pool after a complete answer; destroys it if it has closed or the pool is
   * full, or if the upstream has answered before the end of the request: the buffers of its body are used again.
   * @param connection - the connection
   */
  release(connection: UpstreamConnection): void {
    const isUsable = connection.isOpen && connection.isFlushed;
    if (isUsable && this.#idle.length < MAX_IDLE_CONNECTIONS) this.#idle.push(connection);
    else connection.destroy();
  }

  /** Closes the idle connections. */
  close(): void {
    this.#idle.splice(0).forEach((connection) => connection.destroy());
  }

  #remove(connection: UpstreamConnection): void {
    const at = this.#idle.indexOf(connection);
    if (at < 0) return;
    this.#idle.splice(at, 1);
    connection.destroy();
  }
}
