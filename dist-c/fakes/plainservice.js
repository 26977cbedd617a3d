/** Stand-in for a plain service: counts each call by its idempotency key. */
import Fastify from 'fastify';
import { FakeOrders } from './orders.js';
/** Runs calls and counts them. */
export class FakePlainService {
    #runs = new Map();
    #faults = { loseAnswers: false, delayMs: 0 };
    #app = Fastify({ forceCloseConnections: true });
    /** Orders that the stand-in was given. */
    orders = new FakeOrders(this.#app);
    constructor() {
        this.#app.put('/admin/faults', async (req) => {
            this.setFaults(req.body);
            return this.#faults;
        });
        this.#app.get('/admin/runs', async () => this.runs);
        this.#app.all('/*', async (req, reply) => {
            const key = String(req.headers['idempotency-key']);
            this.#runs.set(key, (this.#runs.get(key) ?? 0) + 1);
            await new Promise((resolve) => {
                setTimeout(resolve, this.#faults.delayMs);
            });
            if (this.#faults.loseAnswers) {
                reply.hijack();
                reply.raw.destroy();
                return undefined;
            }
            return { confirmed: true, key, path: req.url };
        });
    }
    /**
     * Starts a stand-in.
     * @param options - address
     * @returns the stand-in, once it listens
     */
    static async start(options) {
        const service = new FakePlainService();
        await service.#app.listen({ host: options.host, port: options.port });
        return service;
    }
    /** Runs of every key so far. */
    get runs() {
        return [...this.#runs].map(([key, runs]) => ({ key, runs }));
    }
    /**
     * Switches faults.
     * @param faults - faults to change; the others stay
     */
    setFaults(faults) {
        this.#faults = { ...this.#faults, ...faults };
    }
    /** Stops the stand-in. */
    async stop() {
        await this.#app.close();
    }
}
//# sourceMappingURL=plainservice.js.map