/** Stand-in for the platform's instance list, which lags behind what is set. */
import Fastify from 'fastify';

import type { FastifyInstance } from 'fastify';
import type { Instance } from '../src/store/index.js';

/** What a list stand-in is started with. */
export interface ListOptions {
  readonly host: string;
  readonly port: number;
  /** Delay before a change shows, in milliseconds. */
  readonly lagMs: number;
}

/** Serves a list of instances. */
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
   * @param options - address and lag
   * @returns the stand-in, once it listens
   */
  static async start(options: ListOptions): Promise<FakeInstanceList> {
    const list = new FakeInstanceList(options);
    await list.#app.listen({ host: options.host, port: options.port });
    return list;
  }

  /**
   * Sets the instances; the list shows them after its lag.
   * @param instances - live and leaving instances
   */
  set(instances: readonly Instance[]): void {
    if (this.#visible.length === 0) this.#visible = instances;
    setTimeout(() => {
      this.#visible = instances;
    }, this.options.lagMs);
  }

  /**
   * Switches an outage.
   * @param outage - whether every call fails
   */
  setOutage(outage: boolean): void {
    this.#outage = outage;
  }

  /** Stops the stand-in. */
  async stop(): Promise<void> {
    await this.#app.close();
  }
}
