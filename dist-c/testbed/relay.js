var _a;
/** A switchable TCP relay on loopback: cuts, silences and delays the connections through it. */
import { connect, createServer } from 'node:net';
/** Passes connections on to one target. */
export class Relay {
    host;
    port;
    #pairs = new Set();
    #server;
    #mode = 'pass';
    constructor(host, port) {
        this.host = host;
        this.port = port;
        this.#server = createServer((near) => this.#accept(near));
    }
    /**
     * Starts a relay on a free port.
     * @param host - host of the target
     * @param port - port of the target
     * @returns the relay, once it listens
     */
    static async start(host, port) {
        const relay = new _a(host, port);
        await new Promise((resolve) => {
            relay.#server.listen(0, '127.0.0.1', resolve);
        });
        return relay;
    }
    /** Address of the relay, "IP:port". */
    get address() {
        return `127.0.0.1:${this.#server.address().port}`;
    }
    /**
     * Switches the relay.
     * "cut" resets open connections and new ones; "silent" keeps them open and drops
     * their bytes; "pass" lets new connections through.
     * @param mode - what to do from now on
     */
    set(mode) {
        this.#mode = mode;
        if (mode === 'cut')
            this.#pairs.forEach((pair) => _a.#destroy(pair));
        if (mode === 'silent')
            this.silenceOpen();
    }
    /** Silences the connections that are open for good; new ones still pass. */
    silenceOpen() {
        this.#pairs.forEach((pair) => {
            const state = pair;
            state.silenced = true;
        });
    }
    /** Stops the relay. */
    async stop() {
        this.#pairs.forEach((pair) => _a.#destroy(pair));
        await new Promise((resolve) => {
            this.#server.close(resolve);
        });
    }
    static #destroy({ near, far }) {
        near.destroy();
        far.destroy();
    }
    #accept(near) {
        if (this.#mode === 'cut') {
            near.resetAndDestroy();
            return;
        }
        const far = connect(this.port, this.host);
        const pair = { near, far, silenced: this.#mode === 'silent' };
        this.#pairs.add(pair);
        this.#join(pair, near, far);
        this.#join(pair, far, near);
    }
    #join(pair, from, to) {
        from.setNoDelay(true);
        from.on('data', (chunk) => {
            if (!pair.silenced)
                to.write(chunk);
        });
        from.on('end', () => {
            if (!pair.silenced)
                to.end();
        });
        from.on('error', () => _a.#destroy(pair));
        from.on('close', () => {
            if (pair.silenced)
                return;
            this.#pairs.delete(pair);
            to.destroy();
        });
    }
}
_a = Relay;
//# sourceMappingURL=relay.js.map