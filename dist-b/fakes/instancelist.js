/** Stand-in for the platform's instance list, which lags behind what is set. */
import Fastify from 'fastify';
/** Serves a list of instances. */
export class FakeInstanceList {
    options;
    #visible = [];
    #outage = false;
    #app = Fastify({ forceCloseConnections: true });
    constructor(options) {
        this.options = options;
        this.#app.get('/instances', async (_req, reply) => {
            if (this.#outage)
                return reply.status(503).send({ error: 'outage' });
            return { instances: this.#visible };
        });
        this.#app.put('/admin/instances', async (req) => {
            this.set(req.body);
            return {};
        });
    }
    /**
     * Starts a stand-in.
     * @param options - address and lag
     * @returns the stand-in, once it listens
     */
    static async start(options) {
        const list = new FakeInstanceList(options);
        await list.#app.listen({ host: options.host, port: options.port });
        return list;
    }
    /**
     * Sets the instances; the list shows them after its lag.
     * @param instances - live and leaving instances
     */
    set(instances) {
        if (this.#visible.length === 0)
            this.#visible = instances;
        setTimeout(() => {
            this.#visible = instances;
        }, this.options.lagMs);
    }
    /**
     * Switches an outage.
     * @param outage - whether every call fails
     */
    setOutage(outage) {
        this.#outage = outage;
    }
    /** Stops the stand-in. */
    async stop() {
        await this.#app.close();
    }
}
//# sourceMappingURL=instancelist.js.map