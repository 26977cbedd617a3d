/** Orders interface of an upstream stand-in: fencing, lost answers, and its own counts. */
import type { FastifyInstance } from 'fastify';

/** Switches of the orders interface. */
export interface OrderFaults {
  /** Orders with a lower number than one that was seen are refused. */
  readonly checksFencing: boolean;
  /** Orders are carried out, but their answers never come. */
  readonly loseAnswers: boolean;
  /** Delay before an order is carried out, in milliseconds. */
  readonly delayMs: number;
}

/** One order that was carried out. */
export interface ExecutedOrder {
  readonly id: string;
  readonly order: string;
  readonly fence: number;
  /** Milliseconds since the epoch. */
  readonly at: number;
  /** Requests that were open when the order came. */
  readonly open: number;
}

/** One request that arrived. */
export interface ReceivedRequest {
  readonly id: string;
  /** Milliseconds since the epoch. */
  readonly at: number;
}

/** Calls that ask for no work: switches, orders, load reports and cancellations. */
const NON_REQUEST_PATHS = ['/admin/', '/orders', '/v1/load', '/v1/requests/'] as const;

/** What upstream stand-ins share beside their own work. */
export class FakeOrders {
  readonly #executed: ExecutedOrder[] = [];

  readonly #requests: ReceivedRequest[] = [];

  #open = 0;

  #received = 0;

  #fence = 0;

  #faults: OrderFaults = { checksFencing: false, loseAnswers: false, delayMs: 0 };

  /**
   * Adds the interface to a stand-in and counts its work.
   * @param app - server of the stand-in
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

  /** Orders that were carried out, in their sequence. */
  get executed(): readonly ExecutedOrder[] {
    return this.#executed;
  }

  /** Orders that arrived, also those that were refused or are not carried out yet. */
  get received(): number {
    return this.#received;
  }

  /** Requests that arrived, in their sequence. */
  get requests(): readonly ReceivedRequest[] {
    return this.#requests;
  }

  /** Requests that are open. */
  get open(): number {
    return this.#open;
  }

  /**
   * Switches faults.
   * @param faults - faults to change; the others stay
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
