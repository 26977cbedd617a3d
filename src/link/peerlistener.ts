/** Listener for peer links. */
import { WebSocketServer } from 'ws';

import { AcceptedLink } from './acceptedlink.js';

import type { ListenerConfig } from './acceptedlink.js';

/** Largest frame that a peer may send, in bytes. A larger one closes the link. */
const MAX_FRAME_BYTES = 4 * 1_048_576;

/** WebSocket server that accepts peer links. */
export class PeerListener {
  readonly #server: WebSocketServer;

  readonly #links = new WeakSet<AcceptedLink>();

  /**
   * Opens the listener.
   * @param cfg - address, identity, fleet key and request handler
   */
  constructor(cfg: ListenerConfig) {
    this.#server = new WebSocketServer({
      host: cfg.host,
      port: cfg.port,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.#server.on('error', (err) => {
      const detail = `listen.peers: ${String(err)}; if the other daemons do not reach this one, start it again`;
      cfg.recorder.record('listenerFailed', { detail });
    });
    this.#server.on('connection', (socket, req) => {
      this.#links.add(new AcceptedLink(socket, req.socket, cfg));
    });
  }

  /** Closes the listener and every accepted link. */
  async close(): Promise<void> {
    this.#server.clients.forEach((socket) => socket.terminate());
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
  }
}
