/** Listener for peer links: authenticates diallers and answers their requests. */
import { randomBytes } from 'node:crypto';
import { WebSocketServer } from 'ws';
import { instanceOf } from '../kernel/index.js';
import { prove, sameProof } from './frames.js';
import { decodeFrame, encodeFrame, HEARTBEAT_MS, SILENCE_MS } from './peerlink.js';
const NONCE_BYTES = 16;
/** Largest frame that a peer may send, in bytes. */
const MAX_FRAME_BYTES = 4 * 1_048_576;
/** One accepted socket. */
class AcceptedLink {
    socket;
    cfg;
    #nonce = randomBytes(NONCE_BYTES).toString('hex');
    #beat;
    #from;
    #heardAt = Date.now();
    constructor(socket, cfg) {
        this.socket = socket;
        this.cfg = cfg;
        this.#beat = setInterval(() => this.#heartbeat(), HEARTBEAT_MS);
        socket.on('message', (data) => void this.#receive(decodeFrame(data)));
        socket.on('error', () => socket.terminate());
        socket.on('close', () => clearInterval(this.#beat));
        this.#send({ kind: 'challenge', nonce: this.#nonce });
    }
    #send(frame) {
        if (this.socket.readyState === this.socket.OPEN)
            this.socket.send(encodeFrame(frame));
    }
    #heartbeat() {
        if (Date.now() - this.#heardAt > SILENCE_MS)
            this.socket.terminate();
        else if (this.#from)
            this.#send({ kind: 'heartbeat' });
    }
    async #receive(frame) {
        this.#heardAt = Date.now();
        if (!frame) {
            this.cfg.recorder.record('messageRejected', { peer: this.#from ?? 'unknown' });
            return;
        }
        if (frame.kind === 'hello')
            await this.#greet(frame.from, frame.nonce, frame.proof);
        if (frame.kind !== 'request')
            return;
        if (!this.#from) {
            this.socket.terminate();
            return;
        }
        this.cfg.clock.observe(frame.stamp);
        const body = await this.cfg.answer(frame.body, this.#from);
        if (body)
            this.#send({ kind: 'reply', id: frame.id, stamp: this.cfg.clock.next(), body });
    }
    async #greet(from, nonce, proof) {
        const proved = sameProof(proof, prove(this.cfg.fleetKey, this.#nonce, from));
        if (!proved || !(await this.cfg.isKnown(instanceOf(from)))) {
            this.cfg.recorder.record('linkRefused', { peer: from });
            this.socket.terminate();
            return;
        }
        this.#from = from;
        const answer = prove(this.cfg.fleetKey, nonce, this.cfg.self);
        this.#send({ kind: 'welcome', from: this.cfg.self, proof: answer });
    }
}
/** Accepts the links of peers. */
export class PeerListener {
    #server;
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
        this.#server.on('connection', (socket) => new AcceptedLink(socket, cfg));
    }
    /** Closes the listener and every accepted link. */
    async close() {
        this.#server.clients.forEach((socket) => socket.terminate());
        await new Promise((resolve) => {
            this.#server.close(() => resolve());
        });
    }
}
//# sourceMappingURL=wsserver.js.map