/** Listener for peer links. */
import { WebSocketServer } from 'ws';
import { AcceptedLink } from './acceptedlink.js';
/** Largest frame that a peer may send, in bytes. */
const MAX_FRAME_BYTES = 4 * 1_048_576;
/** Accepts the links of peers. */
export class PeerListener {
    #server;
    #links = new WeakSet();
    /**
     * Opens the listener.
     * @param cfg - address, keys and the answering function
     */
    constructor(cfg) {
        this.#server = new WebSocketServer({
            host: cfg.host,
            port: cfg.port,
            maxPayload: MAX_FRAME_BYTES,
            perMessageDeflate: false,
        });
        this.#server.on('connection', (socket) => {
            this.#links.add(new AcceptedLink(socket, cfg));
        });
    }
    /** Closes the listener and every accepted link. */
    async close() {
        this.#server.clients.forEach((socket) => socket.terminate());
        await new Promise((resolve) => {
            this.#server.close(() => resolve());
        });
    }
}
//# sourceMappingURL=peerlistener.js.map