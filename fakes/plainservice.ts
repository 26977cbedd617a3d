/** Stand-in for a plain service that counts how often each idempotency key is executed. */
import Fastify from 'fastify';

import type { FastifyInstance } from 'fastify';
import { FakeOrders } from './orders.js';

/** Options of a service stand-in. */
export interface ServiceOptions {
  readonly host: string;
  readonly port: number;
}

/** Faults that a test can inject. */
export interface ServiceFaults {
  /** Calls are executed, but the connection closes without an answer. */
  readonly loseAnswers: boolean;
  /** Delay of each answer, in milliseconds. */
  readonly delayMs: number;
}

/** Number of executions of one idempotency key. */
export interface KeyRuns {
  readonly key: string;
  readonly runs: number;
}

/** Answers calls and counts them. */
export class FakePlainService {
  readonly #runs = new Map<string, number>();

  #faults: ServiceFaults = { loseAnswers: false, delayMs: 0 };

  /** Calls that are being executed. */
  #open = 0;

  readonly #app: FastifyInstance = Fastify({ forceCloseConnections: true });

  /** Orders interface of the stand-in. */
  readonly orders = new FakeOrders(this.#app);

  private constructor() {
    this.#app.put<{ Body: Partial<ServiceFaults> }>('/admin/faults', async (req) => {
      this.setFaults(req.body);
      return this.#faults;
    });
    this.#app.get('/admin/runs', async () => this.runs);
    this.#app.get('/v1/load', async () => ({ open: this.#open }));
    this.#app.all('/*', async (req, reply) => {
      const key = String(req.headers['idempotency-key']);
      this.#runs.set(key, (this.#runs.get(key) ?? 0) + 1);
      this.#open += 1;
      await new Promise((resolve) => {
        setTimeout(resolve, this.#faults.delayMs);
      });
      this.#open -= 1;
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
  static async start(options: ServiceOptions): Promise<FakePlainService> {
    const service = new FakePlainService();
    await service.#app.listen({ host: options.host, port: options.port });
    return service;
  }

  /** Executions of every key so far. */
  get runs(): readonly KeyRuns[] {
    return [...this.#runs].map(([key, runs]) => ({ key, runs }));
  }

  /**
   * Sets faults.
   * @param faults - faults to change; the others are unchanged
   */
  setFaults(faults: Partial<ServiceFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Stops the stand-in. */
  async stop(): Promise<void> {
    await this.#app.close();
  }
}
