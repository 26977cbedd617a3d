/** Stand-in for the platform's object API, with versions, conditional writes, watches and faults. */
import Fastify from 'fastify';

import type { FastifyInstance, FastifyReply } from 'fastify';

/** Maximum size of a value as JSON, in bytes. */
const MAX_VALUE_BYTES = 1_000_000;

/** Faults that a test can inject. */
export interface StoreFaults {
  /** Every call fails with 503 and has no effect. */
  readonly outage: boolean;
  /** Delay of every call, in milliseconds. */
  readonly delayMs: number;
  /** Share of writes that take effect but whose connection closes without an answer. */
  readonly loseAnswers: number;
}

/** Call counters of the store; a watch counts as one call however long it waits. */
export interface StoreCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  /** Calls refused by a rate limit. */
  readonly limited: number;
  /** Bytes of all answer bodies. */
  readonly bytesOut: number;
}

/** Options of a store stand-in. */
export interface StoreOptions {
  readonly host: string;
  readonly port: number;
  /** Limit of writes per second; more are refused with 429. Default no limit. */
  readonly writesPerSecond?: number;
  /** Limit of reads and watches per second; more are refused with 429. Default no limit. */
  readonly readsPerSecond?: number;
  /** Random numbers in [0, 1) for the faults; default Math.random. */
  readonly random?: () => number;
}

interface Entry {
  readonly version: number;
  readonly value: unknown;
}

interface Waiter {
  readonly prefix: string;
  readonly position: number;
  readonly wake: () => void;
}

/** Number of calls of one kind in the current second. */
interface RateWindow {
  second: number;
  calls: number;
}

const NO_FAULTS: StoreFaults = { outage: false, delayMs: 0, loseAnswers: 0 };

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Keeps objects in memory and serves them over HTTP. */
export class FakeObjectStore {
  readonly #objects = new Map<string, Entry>();

  readonly #log: { readonly key: string; readonly version: number }[] = [];

  readonly #waiters = new Set<Waiter>();

  readonly #versions = new Map<string, number>();

  readonly #windows = { write: { second: 0, calls: 0 }, read: { second: 0, calls: 0 } };

  #faults: StoreFaults = NO_FAULTS;

  #counts: StoreCounts = { reads: 0, writes: 0, watches: 0, limited: 0, bytesOut: 0 };

  readonly #app: FastifyInstance;

  private constructor(private readonly options: StoreOptions) {
    this.#app = Fastify({ bodyLimit: 2 * MAX_VALUE_BYTES, forceCloseConnections: true });
    this.#registerRoutes();
  }

  /**
   * Starts a stand-in.
   * @param options - address and limits
   * @returns the stand-in, once it listens
   */
  static async start(options: StoreOptions): Promise<FakeObjectStore> {
    const store = new FakeObjectStore(options);
    await store.#app.listen({ host: options.host, port: options.port });
    return store;
  }

  /** Calls so far. */
  get counts(): StoreCounts {
    return this.#counts;
  }

  /**
   * Sets faults.
   * @param faults - faults to change; the others are unchanged
   */
  setFaults(faults: Partial<StoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /**
   * Reads an object directly, without faults and counters.
   * @param key - object key
   * @returns the value; undefined if there is none
   */
  peek(key: string): unknown {
    return this.#objects.get(key)?.value;
  }

  /**
   * Lists keys directly, without faults and counters.
   * @param prefix - prefix of the keys
   * @returns keys, sorted
   */
  keys(prefix: string): readonly string[] {
    return [...this.#objects.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  /** Stops the stand-in. */
  async stop(): Promise<void> {
    this.#waiters.forEach(({ wake }) => wake());
    await this.#app.close();
  }

  #registerRoutes(): void {
    const app = this.#app;
    app.addHook('onRequest', async (req, reply) => {
      if (req.url.startsWith('/admin/')) return;
      if (this.#faults.delayMs > 0) await sleep(this.#faults.delayMs);
      if (this.#faults.outage) await reply.status(503).send({ error: 'outage' });
      else if (!this.#withinRate(req.method === 'GET' ? 'read' : 'write')) {
        this.#count('limited');
        await reply.status(429).send({ error: 'rate limit' });
      }
    });
    app.addHook('onSend', async (_req, _reply, payload) => {
      this.#count('bytesOut', Buffer.byteLength(String(payload)));
      return payload;
    });
    app.get<{ Params: { key: string } }>('/objects/:key', async (req) => {
      this.#count('reads');
      return this.#objects.get(req.params.key) ?? { version: 0, value: null };
    });
    app.put<{ Params: { key: string }; Querystring: { expected: string }; Body: unknown }>(
      '/objects/:key',
      async (req, reply) => this.#write(req.params.key, req.body, req.query.expected, reply),
    );
    app.delete<{ Params: { key: string }; Querystring: { expected: string } }>(
      '/objects/:key',
      async (req, reply) => this.#write(req.params.key, undefined, req.query.expected, reply),
    );
    app.get<{ Querystring: { prefix: string } }>('/objects', async (req) => {
      this.#count('reads');
      const keys = this.keys(req.query.prefix);
      return { changes: keys.map((key) => ({ key, version: this.#versionOf(key) })) };
    });
    app.get<{ Querystring: { prefix: string; position: string; waitMs: string } }>(
      '/watch',
      async (req) => {
        const { prefix, position, waitMs } = req.query;
        return this.#watch(prefix, Number(position), Number(waitMs));
      },
    );
    app.put<{ Body: Partial<StoreFaults> }>('/admin/faults', async (req) => {
      this.setFaults(req.body);
      return this.#faults;
    });
    app.get('/admin/counts', async () => this.#counts);
  }

  #versionOf(key: string): number {
    return this.#objects.get(key)?.version ?? 0;
  }

  #withinRate(kind: 'read' | 'write'): boolean {
    const limit = kind === 'read' ? this.options.readsPerSecond : this.options.writesPerSecond;
    const window: RateWindow = this.#windows[kind];
    const second = Math.floor(Date.now() / 1_000);
    if (window.second !== second) {
      window.second = second;
      window.calls = 0;
    }
    window.calls += 1;
    return limit === undefined || window.calls <= limit;
  }

  #count(name: keyof StoreCounts, by = 1): void {
    this.#counts = { ...this.#counts, [name]: this.#counts[name] + by };
  }

  async #write(
    key: string,
    value: unknown,
    expected: string,
    reply: FastifyReply,
  ): Promise<unknown> {
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

  #store(key: string, value: unknown): number {
    const version = (this.#versions.get(key) ?? 0) + 1;
    this.#versions.set(key, version);
    if (value === undefined) this.#objects.delete(key);
    else this.#objects.set(key, { version, value });
    this.#log.push({ key, version });
    [...this.#waiters].filter(({ prefix }) => key.startsWith(prefix)).forEach(({ wake }) => wake());
    return version;
  }

  #changes(prefix: string, position: number): readonly { key: string; version: number }[] {
    return this.#log.slice(position).filter(({ key }) => key.startsWith(prefix));
  }

  async #watch(prefix: string, position: number, waitMs: number): Promise<unknown> {
    this.#count('watches');
    if (this.#changes(prefix, position).length === 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        const waiter: Waiter = {
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
