/** Orders interface of an upstream stand-in, with fencing, injected faults and counts. */
import type { FastifyInstance } from 'fastify';

/** Settings and injected faults of the orders interface. */
export interface OrderFaults {
  /** Orders with a fencing number lower than the highest one so far are refused with 409. */
  readonly checksFencing: boolean;
  /** Orders are executed, but the connection closes without an answer. */
  readonly loseAnswers: boolean;
  /** Delay before an order is executed, in milliseconds. */
  readonly delayMs: number;
}

/** One order that was executed. */
export interface ExecutedOrder {
  readonly id: string;
  readonly order: string;
  /** Fencing number of the sender. */
  readonly fence: number;
  /** Time of execution, in milliseconds since the epoch. */
  readonly at: number;
  /** Requests that were open when the order was executed. */
  readonly open: number;
}

/** One request that the stand-in received. */
export interface ReceivedRequest {
  readonly id: string;
  /** Milliseconds since the epoch. */
  readonly at: number;
}

/** Path prefixes that do not count as requests: administration, orders, load reports, cancellations. */
const NON_REQUEST_PATHS = ['/admin/', '/orders', '/v1/load', '/v1/requests/'] as const;

/** Adds the orders interface and request counts to an upstream stand-in. */
export class FakeOrders {
  readonly #executed: ExecutedOrder[] = [];

  readonly #requests: ReceivedRequest[] = [];

  #open = 0;

  #received = 0;

  #fence = 0;

  #faults: OrderFaults = { checksFencing: false, loseAnswers: false, delayMs: 0 };

  /**
   * Registers the routes of the orders interface and a hook that counts requests.
   * @param app - HTTP server of the stand-in, before it listens
   */
  constructor(app: FastifyInstance) {
    app.addHook('onRequest', async (req, reply) => {
      if (NON_REQUEST_PATHS.some((path) => req.url.startsWith(path))) return;
      this.#requests.push({ id: String(req.headers['x-request-id']), at: Date.now() });
      this.#open += 1;
      reply.raw.once('close', () => {
        this.#open -= 1;
      });
    });
    app.get('/orders', async () => ({
      open: this.#open,
      orders: this.#executed.map(({ id }) => id),
    }));
    app.put<{ Body: { fence: number } }>('/orders/fence', async (req, reply) =>
      this.#acceptsFence(req.body.fence) ? {} : reply.status(409).send({ error: 'old number' }),
    );
    app.put<{ Body: Omit<ExecutedOrder, 'at' | 'open'> }>('/orders', async (req, reply) => {
      this.#received += 1;
      await new Promise((resolve) => {
        setTimeout(resolve, this.#faults.delayMs);
      });
      if (!this.#acceptsFence(req.body.fence))
        return reply.status(409).send({ error: 'old number' });
      this.#executed.push({ ...req.body, at: Date.now(), open: this.#open });
      if (!this.#faults.loseAnswers) return {};
      reply.hijack();
      reply.raw.destroy();
      return undefined;
    });
  }

  /** Executed orders, in order of execution. */
  get executed(): readonly ExecutedOrder[] {
    return this.#executed;
  }

  /** Number of orders received, including refused and delayed ones. */
  get received(): number {
    return this.#received;
  }

  /** Requests in the order in which they arrived. */
  get requests(): readonly ReceivedRequest[] {
    return this.#requests;
  }

  /** Number of open requests. */
  get open(): number {
    return this.#open;
  }

  /**
   * Sets faults.
   * @param faults - faults to change; the others are unchanged
   */
  setFaults(faults: Partial<OrderFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  #acceptsFence(fence: number): boolean {
    if (this.#faults.checksFencing && fence < this.#fence) return false;
    this.#fence = Math.max(this.#fence, fence);
    return true;
  }
}
