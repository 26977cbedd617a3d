/** Stand-in for the platform's object API: versions, conditional updates, watches, faults. */
import Fastify from 'fastify';
/** Largest value, in bytes. */
const MAX_VALUE_BYTES = 1_000_000;
const NO_FAULTS = { outage: false, delayMs: 0, loseAnswers: 0 };
function sleep(ms) {
    return new Promise((resolve) => {
        setTimeout(resolve, ms);
    });
}
/** Keeps objects in memory and serves them over HTTP. */
export class FakeObjectStore {
    options;
    #objects = new Map();
    #log = [];
    #waiters = new Set();
    #versions = new Map();
    #windows = { write: { second: 0, calls: 0 }, read: { second: 0, calls: 0 } };
    #faults = NO_FAULTS;
    #counts = { reads: 0, writes: 0, watches: 0, limited: 0, bytesOut: 0 };
    #app;
    constructor(options) {
        this.options = options;
        this.#app = Fastify({ bodyLimit: 2 * MAX_VALUE_BYTES, forceCloseConnections: true });
        this.#routes();
    }
    /**
     * Starts a stand-in.
     * @param options - address and limits
     * @returns the stand-in, once it listens
     */
    static async start(options) {
        const store = new FakeObjectStore(options);
        await store.#app.listen({ host: options.host, port: options.port });
        return store;
    }
    /** Calls so far. */
    get counts() {
        return this.#counts;
    }
    /**
     * Switches faults.
     * @param faults - faults to change; the others stay
     */
    setFaults(faults) {
        this.#faults = { ...this.#faults, ...faults };
    }
    /**
     * Reads an object as the store holds it, past every fault.
     * @param key - object key
     * @returns the value; undefined if there is none
     */
    peek(key) {
        return this.#objects.get(key)?.value;
    }
    /**
     * Lists keys past every fault.
     * @param prefix - start of the keys
     * @returns the keys in order
     */
    keys(prefix) {
        return [...this.#objects.keys()].filter((key) => key.startsWith(prefix)).sort();
    }
    /** Stops the stand-in. */
    async stop() {
        this.#waiters.forEach(({ wake }) => wake());
        await this.#app.close();
    }
    #routes() {
        const app = this.#app;
        app.addHook('onRequest', async (req, reply) => {
            if (req.url.startsWith('/admin/'))
                return;
            if (this.#faults.delayMs > 0)
                await sleep(this.#faults.delayMs);
            if (this.#faults.outage)
                await reply.status(503).send({ error: 'outage' });
            else if (!this.#withinRate(req.method === 'GET' ? 'read' : 'write')) {
                this.#count('limited');
                await reply.status(429).send({ error: 'rate limit' });
            }
        });
        app.addHook('onSend', async (_req, _reply, payload) => {
            this.#count('bytesOut', Buffer.byteLength(String(payload)));
            return payload;
        });
        app.get('/objects/:key', async (req) => {
            this.#count('reads');
            return this.#objects.get(req.params.key) ?? { version: 0, value: null };
        });
        app.put('/objects/:key', async (req, reply) => this.#write(req.params.key, req.body, req.query.expected, reply));
        app.delete('/objects/:key', async (req, reply) => this.#write(req.params.key, undefined, req.query.expected, reply));
        app.get('/objects', async (req) => {
            this.#count('reads');
            const keys = this.keys(req.query.prefix);
            return { changes: keys.map((key) => ({ key, version: this.#versionOf(key) })) };
        });
        app.get('/watch', async (req) => {
            const { prefix, position, waitMs } = req.query;
            return this.#watch(prefix, Number(position), Number(waitMs));
        });
        app.put('/admin/faults', async (req) => {
            this.setFaults(req.body);
            return this.#faults;
        });
        app.get('/admin/counts', async () => this.#counts);
    }
    #versionOf(key) {
        return this.#objects.get(key)?.version ?? 0;
    }
    #withinRate(kind) {
        const limit = kind === 'read' ? this.options.readsPerSecond : this.options.writesPerSecond;
        const window = this.#windows[kind];
        const second = Math.floor(Date.now() / 1_000);
        if (window.second !== second) {
            window.second = second;
            window.calls = 0;
        }
        window.calls += 1;
        return limit === undefined || window.calls <= limit;
    }
    #count(name, by = 1) {
        this.#counts = { ...this.#counts, [name]: this.#counts[name] + by };
    }
    async #write(key, value, expected, reply) {
        this.#count('writes');
        if (value !== undefined && Buffer.byteLength(JSON.stringify(value)) > MAX_VALUE_BYTES) {
            return reply.status(413).send({ error: 'value larger than 1 MB' });
        }
        if (this.#versionOf(key) !== Number(expected)) {
            return reply.status(412).send({ version: this.#versionOf(key) });
        }
        const version = this.#store(key, value);
        const random = this.options.random ?? Math.random;
        if (random() < this.#faults.loseAnswers) {
            reply.hijack();
            reply.raw.destroy();
        }
        return { version };
    }
    #store(key, value) {
        const version = (this.#versions.get(key) ?? 0) + 1;
        this.#versions.set(key, version);
        if (value === undefined)
            this.#objects.delete(key);
        else
            this.#objects.set(key, { version, value });
        this.#log.push({ key, version });
        [...this.#waiters].filter(({ prefix }) => key.startsWith(prefix)).forEach(({ wake }) => wake());
        return version;
    }
    #changes(prefix, position) {
        return this.#log.slice(position).filter(({ key }) => key.startsWith(prefix));
    }
    async #watch(prefix, position, waitMs) {
        this.#count('watches');
        if (this.#changes(prefix, position).length === 0) {
            await new Promise((resolve) => {
                const timer = setTimeout(resolve, waitMs);
                const waiter = {
                    prefix,
                    position,
                    wake: () => {
                        clearTimeout(timer);
                        resolve();
                    },
                };
                this.#waiters.add(waiter);
                setTimeout(() => this.#waiters.delete(waiter), waitMs);
            });
        }
        return { changes: this.#changes(prefix, position), position: this.#log.length };
    }
}
//# sourceMappingURL=objectstore.js.map