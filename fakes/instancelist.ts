/** Stand-in for the platform's instance list, which shows changes after a delay. */
import Fastify from 'fastify';

import type { FastifyInstance } from 'fastify';
import type { Instance } from '../src/store/index.js';

/** Options of an instance list stand-in. */
export interface ListOptions {
  readonly host: string;
  readonly port: number;
  /** Delay until a change is visible, in milliseconds. */
  readonly lagMs: number;
}

/** Serves the list of instances over HTTP. */
export class FakeInstanceList {
  #visible: readonly Instance[] = [];

  #outage = false;

  readonly #app: FastifyInstance = Fastify({ forceCloseConnections: true });

  private constructor(private readonly options: ListOptions) {
    this.#app.get('/instances', async (_req, reply) => {
      if (this.#outage) return reply.status(503).send({ error: 'outage' });
      return { instances: this.#visible };
    });
    this.#app.put<{ Body: readonly Instance[] }>('/admin/instances', async (req) => {
      this.set(req.body);
      return {};
    });
  }

  /**
   * Starts a stand-in.
   * @param options - address and delay
   * @returns the stand-in, once it listens
   */
  static async start(options: ListOptions): Promise<FakeInstanceList> {
    const list = new FakeInstanceList(options);
    await list.#app.listen({ host: options.host, port: options.port });
    return list;
  }

  /**
   * Sets the instances. An empty list is replaced at once, any other list after the delay.
   * @param instances - live and leaving instances
   */
  set(instances: readonly Instance[]): void {
    if (this.#visible.length === 0) this.#visible = instances;
    setTimeout(() => {
      this.#visible = instances;
    }, this.options.lagMs);
  }

  /**
   * Starts or ends an outage, during which the list answers 503.
   * @param outage - whether reads of the list fail
   */
  setOutage(outage: boolean): void {
    this.#outage = outage;
  }

  /** Stops the stand-in. */
  async stop(): Promise<void> {
    await this.#app.close();
  }
}
