/** What upstream stand-ins share beside their own work. */
export class FakeOrders {
    #given = [];
    #work = [];
    #open = 0;
    #received = 0;
    #fence = 0;
    #faults = { checksFencing: false, loseAnswers: false, delayMs: 0 };
    /**
     * Adds the interface to a stand-in and counts its work.
     * @param app - server of the stand-in
     */
    constructor(app) {
        app.addHook('onRequest', async (req, reply) => {
            if (req.url.startsWith('/admin/') || req.url.startsWith('/orders'))
                return;
            this.#work.push({ id: String(req.headers['x-request-id']), at: Date.now() });
            this.#open += 1;
            reply.raw.once('close', () => {
                this.#open -= 1;
            });
        });
        app.get('/orders', async () => ({
            open: this.#open,
            orders: this.#given.map(({ id }) => id),
        }));
        app.put('/orders/fence', async (req, reply) => this.#admits(req.body.fence) ? {} : reply.status(409).send({ error: 'old number' }));
        app.put('/orders', async (req, reply) => {
            this.#received += 1;
            await new Promise((resolve) => {
                setTimeout(resolve, this.#faults.delayMs);
            });
            if (!this.#admits(req.body.fence))
                return reply.status(409).send({ error: 'old number' });
            this.#given.push({ ...req.body, at: Date.now(), open: this.#open });
            if (!this.#faults.loseAnswers)
                return {};
            reply.hijack();
            reply.raw.destroy();
            return undefined;
        });
    }
    /** Orders that were carried out, in their sequence. */
    get given() {
        return this.#given;
    }
    /** Orders that arrived, also those that were refused or are not carried out yet. */
    get received() {
        return this.#received;
    }
    /** Requests that arrived, in their sequence. */
    get work() {
        return this.#work;
    }
    /** Requests that are open. */
    get open() {
        return this.#open;
    }
    /**
     * Switches faults.
     * @param faults - faults to change; the others stay
     */
    setFaults(faults) {
        this.#faults = { ...this.#faults, ...faults };
    }
    #admits(fence) {
        if (this.#faults.checksFencing && fence < this.#fence)
            return false;
        this.#fence = Math.max(this.#fence, fence);
        return true;
    }
}
//# sourceMappingURL=orders.js.map