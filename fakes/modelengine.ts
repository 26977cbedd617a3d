/** Stand-in for a model engine that streams generated tokens at a configured rate. */
import Fastify from 'fastify';

import type { ServerResponse } from 'node:http';
import type { FastifyInstance } from 'fastify';
import { EngineCache } from './enginecache.js';
import { FakeOrders } from './orders.js';

/** Options of an engine stand-in. */
export interface EngineOptions {
  readonly host: string;
  readonly port: number;
  /** Time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Time between tokens, in milliseconds. */
  readonly tokenMs: number;
  /** Increase of the time between tokens per additional open answer, as a fraction; default 0. */
  readonly slowdownPerOpenAnswer?: number;
}

/** Faults that a test can inject. */
export interface EngineFaults {
  /** Open answers stall; new requests and load requests get no answer. */
  readonly silent: boolean;
  /** Connections close after this many tokens of an answer; 0 for never. */
  readonly cutAfter: number;
  /** New requests are refused with 503. */
  readonly refuse: boolean;
}

/** Counters of the engine. */
export interface EngineCounts {
  readonly requests: number;
  readonly finished: number;
  readonly cancelled: number;
  readonly tokens: number;
  /** Requests whose prompt was cached completely. */
  readonly cacheHits: number;
}

interface ChatBody {
  readonly model: string;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
  readonly max_tokens: number;
  readonly prefix_digests?: readonly number[];
}

/** Bytes of a prompt per token, for the token counts. */
const BYTES_PER_TOKEN = 4;

/** Delay of load reports and cache events, in milliseconds. */
const REPORT_DELAY_MS = 200;

/** Maximum number of digests in the cache of an engine. */
const CACHE_CAPACITY = 2_000;

/** Fraction of the time to the first token that a cached prompt saves. */
const CACHED_TIME_SAVING = 0.5;

/** Number of latest load samples that are kept. */
const MAX_LOAD_SAMPLES = 64;

const NO_FAULTS: EngineFaults = { silent: false, cutAfter: 0, refuse: false };

function promptTokens(body: ChatBody): number {
  const bytes = body.messages.reduce((sum, { content }) => sum + Buffer.byteLength(content), 0);
  return Math.ceil(bytes / BYTES_PER_TOKEN);
}

/**
 * Generates the token at a position of an answer, from the words of the prompt in turn.
 * @param prompt - last message of the request
 * @param index - position of the token, from 0
 * @returns the text of the token
 */
export function tokenText(prompt: string, index: number): string {
  const words = prompt.split(/\s+/).filter(Boolean);
  return `${words[index % Math.max(1, words.length)] ?? 'ok'}-${index} `;
}

/** Serves streamed chat completions, load reports and cancellations over HTTP. */
export class FakeModelEngine {
  #faults: EngineFaults = NO_FAULTS;

  #counts: EngineCounts = { requests: 0, finished: 0, cancelled: 0, tokens: 0, cacheHits: 0 };

  readonly #app: FastifyInstance = Fastify({ forceCloseConnections: true, bodyLimit: 16e6 });

  readonly #cache = new EngineCache(CACHE_CAPACITY, REPORT_DELAY_MS);

  /** Open answers by request id. */
  readonly #open = new Map<string, ServerResponse>();

  #loads: readonly { readonly at: number; readonly open: number }[] = [];

  /** Orders interface of the stand-in. */
  readonly orders = new FakeOrders(this.#app);

  private constructor(private readonly options: EngineOptions) {
    this.#app.post<{ Body: ChatBody }>('/v1/chat/completions', async (req, reply) => {
      this.#count('requests');
      if (this.#faults.refuse) return reply.status(503).send({ error: 'overloaded' });
      reply.hijack();
      this.#stream(String(req.headers['x-request-id']), req.body, reply.raw);
      return undefined;
    });
    this.#app.get<{ Querystring: { readonly after?: string } }>('/v1/load', async (req, reply) => {
      if (this.#faults.silent) return reply.hijack();
      const { sequence, stored, evicted } = this.#cache.events(Number(req.query.after ?? 0));
      return { open: this.#reportedLoad(), age_ms: REPORT_DELAY_MS, sequence, stored, evicted };
    });
    this.#app.delete<{ Params: { readonly id: string } }>('/v1/requests/:id', async (req) => {
      this.#open.get(req.params.id)?.destroy();
      return {};
    });
    this.#app.put<{ Body: Partial<EngineFaults> }>('/admin/faults', async (req) => {
      this.setFaults(req.body);
      return this.#faults;
    });
    this.#app.get('/admin/counts', async () => this.#counts);
  }

  /**
   * Starts a stand-in.
   * @param options - address and token rate
   * @returns the stand-in, once it listens
   */
  static async start(options: EngineOptions): Promise<FakeModelEngine> {
    const engine = new FakeModelEngine(options);
    await engine.#app.listen({ host: options.host, port: options.port });
    return engine;
  }

  /** Counters so far. */
  get counts(): EngineCounts {
    return this.#counts;
  }

  /**
   * Sets faults.
   * @param faults - faults to change; the others are unchanged
   */
  setFaults(faults: Partial<EngineFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Stops the stand-in. */
  async stop(): Promise<void> {
    await this.#app.close();
  }

  /** Number of open answers as of REPORT_DELAY_MS ago. */
  #reportedLoad(): number {
    const until = Date.now() - REPORT_DELAY_MS;
    const known = this.#loads.findLast(({ at }) => at <= until) ?? this.#loads[0];
    return known?.open ?? 0;
  }

  #sampleLoad(): void {
    this.#loads = [
      ...this.#loads.slice(-MAX_LOAD_SAMPLES),
      { at: Date.now(), open: this.#open.size },
    ];
  }

  #count(name: keyof EngineCounts): void {
    this.#counts = { ...this.#counts, [name]: this.#counts[name] + 1 };
  }

  #stream(id: string, body: ChatBody, res: ServerResponse): void {
    const { firstTokenMs, tokenMs, slowdownPerOpenAnswer: batchSlowness = 0 } = this.options;
    const digests = body.prefix_digests ?? [];
    const isCached = digests.length > 0 && this.#cache.lookUpAndStore(digests) === digests.length;
    if (isCached) this.#count('cacheHits');
    this.#open.set(id, res);
    this.#sampleLoad();
    const prompt = body.messages.at(-1)?.content ?? '';
    let index = 0;
    let timer: NodeJS.Timeout | undefined;
    const send = (fields: object): void => {
      res.write(`data: ${JSON.stringify({ id, model: body.model, ...fields })}\n\n`);
    };
    const next = (): void => {
      if (this.#faults.silent) return;
      if (this.#faults.cutAfter > 0 && index >= this.#faults.cutAfter) {
        res.destroy();
        return;
      }
      if (index < body.max_tokens) {
        this.#count('tokens');
        send({ choices: [{ index: 0, delta: { content: tokenText(prompt, index) } }] });
        index += 1;
        timer = setTimeout(next, tokenMs * (1 + batchSlowness * (this.#open.size - 1)));
        return;
      }
      this.#count('finished');
      send({ choices: [{ index: 0, delta: {}, finish_reason: 'length' }] });
      const usage = { prompt_tokens: promptTokens(body), completion_tokens: index };
      send({ choices: [], usage });
      res.end('data: [DONE]\n\n');
    };
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    res.on('close', () => {
      clearTimeout(timer);
      this.#open.delete(id);
      this.#sampleLoad();
      if (!res.writableEnded) this.#count('cancelled');
    });
    timer = setTimeout(next, firstTokenMs * (isCached ? 1 - CACHED_TIME_SAVING : 1));
  }
}
