/** Peer network over ws: links are dialled when first needed and replaced when lost. */
import { Err, failure, instanceOf, Ok } from '../kernel/index.js';
import { PeerLink } from './peerlink.js';
import { PeerNetwork } from './peernetwork.js';
import { PeerListener } from './peerlistener.js';
/** First delay before a lost link is dialled again, in milliseconds. */
const FIRST_DELAY_MS = 50;
/** Longest delay before a lost link is dialled again, in milliseconds. */
const MAX_DELAY_MS = 2_000;
/** Owns the links of one daemon. */
export class WsPeerNetwork extends PeerNetwork {
    cfg;
    #slots = new Map();
    #handlers = new Map();
    #listener;
    /**
     * Creates the network; nothing is opened before "start".
     * @param cfg - identity, address, directory and recorder
     */
    constructor(cfg) {
        super();
        this.cfg = cfg;
    }
    /** Opens the listener. */
    start() {
        const { self, fleetKey, host, port, directory, recorder } = this.cfg;
        this.#listener = new PeerListener({
            self,
            fleetKey,
            host,
            port,
            clock: recorder.clock,
            recorder,
            isKnown: (instance) => directory.knows(instance),
            answer: (body, from) => this.#answer(body, from),
        });
    }
    /** Closes the listener and every link. */
    async stop() {
        this.#slots.forEach(({ link }) => link?.close());
        await this.#listener?.close();
    }
    peers() {
        const own = instanceOf(this.cfg.self);
        return this.cfg.directory.instances().filter(({ name }) => name !== own);
    }
    incarnationOf(instance) {
        return this.#slots.get(instance)?.incarnation;
    }
    handle(type, handler) {
        this.#handlers.set(type, handler);
    }
    async request(req) {
        const link = this.#linkTo(req.to);
        if (!link)
            return Err(failure('peer-unreachable', req.to));
        const answer = await link.request(req.body, req.timeoutMs);
        if (answer.err)
            return answer;
        if (answer.val.type !== req.reply)
            return Err(failure('peer-unreachable', req.to));
        return Ok(answer.val);
    }
    async #answer(body, from) {
        try {
            return await this.#handlers.get(body.type)?.(body, from);
        }
        catch (err) {
            this.cfg.recorder.record('messageRejected', { peer: from, detail: String(err) });
            return undefined;
        }
    }
    #slotOf(instance) {
        const found = this.#slots.get(instance);
        if (found)
            return found;
        const slot = { link: undefined, incarnation: undefined, failures: 0, retryAt: 0 };
        this.#slots.set(instance, slot);
        return slot;
    }
    #linkTo(instance) {
        const slot = this.#slotOf(instance);
        if (slot.link)
            return slot.link;
        const peer = this.peers().find(({ name }) => name === instance);
        if (!peer || Date.now() < slot.retryAt)
            return undefined;
        slot.link = this.#dial(peer, slot);
        return slot.link;
    }
    #dial(peer, slot) {
        const { self, fleetKey, recorder } = this.cfg;
        return new PeerLink({
            self,
            fleetKey,
            peer: peer.name,
            address: peer.peerAddress,
            clock: recorder.clock,
            recorder,
            onOpen: (incarnation) => this.#opened(slot, incarnation),
            onClose: () => this.#lost(slot, peer.name),
        });
    }
    #opened(slot, incarnation) {
        const state = slot;
        state.incarnation = incarnation;
        state.failures = 0;
        this.cfg.recorder.record('linkOpened', { peer: incarnation });
    }
    #lost(slot, peer) {
        const state = slot;
        const ceiling = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** slot.failures);
        state.link = undefined;
        state.failures += 1;
        state.retryAt = Date.now() + ceiling * (0.5 + Math.random() / 2);
        this.cfg.recorder.record('linkClosed', { peer });
    }
}
//# sourceMappingURL=wspeernetwork.js.map