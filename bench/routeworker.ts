/** Model of one worker with continuous batching and a prefix cache of limited size. */

/** Maximum number of requests that a worker runs concurrently. */
export const WORKER_SLOTS = 64;

/** Tokens per prompt block. */
export const BLOCK_TOKENS = 128;

/** Base duration of one batch step, in milliseconds. */
const BASE_STEP_MS = 10;

/** Time that each active request adds to a step, in milliseconds. */
const STEP_MS_PER_REQUEST = 0.2;

/** Time to compute one uncached prompt token, in milliseconds. */
const PREFILL_MS_PER_TOKEN = 0.03;

/** Maximum number of prompt tokens computed in one step. */
const PREFILL_TOKENS_PER_STEP = 512;

/** Capacity of the prefix cache, in prompt blocks. */
const CACHE_BLOCKS = 600;

/** A request to a worker. */
export interface ModelRequest {
  readonly id: number;
  readonly digests: readonly number[];
  /** Prompt tokens after the last whole block. */
  readonly tailTokens: number;
  readonly outputTokens: number;
  /** Lower numbers are served first. */
  readonly priority: number;
}

/** First token or end of a request at a worker. */
export interface WorkerOutput {
  readonly kind: 'first-token' | 'end';
  readonly request: ModelRequest;
}

/** A request whose prompt is being computed. */
interface Prefill {
  readonly request: ModelRequest;
  left: number;
}

/** Runs requests in batch steps; the caller advances the time by the duration of each step. */
export class WorkerModel {
  /** Digests of cached blocks, least recently used first. */
  readonly #cache = new Map<number, true>();

  #queue: ModelRequest[] = [];

  #prefills: Prefill[] = [];

  /** Running requests, by the step in which they end. */
  readonly #ending = new Map<number, ModelRequest[]>();

  readonly #cancelled = new Set<number>();

  #running = 0;

  #step = 0;

  silent = false;

  /** Factor on the step duration. */
  slowdownFactor = 1;

  promptTokens = 0;

  cachedTokens = 0;

  /** Number of queued and running requests. */
  get open(): number {
    return this.#queue.length + this.#prefills.length + this.#running;
  }

  /** Resets the token counts after the warm-up. */
  resetCounts(): void {
    this.promptTokens = 0;
    this.cachedTokens = 0;
  }

  /**
   * Queues a request by its priority.
   * @param request - the request
   */
  submit(request: ModelRequest): void {
    const after = this.#queue.findIndex(({ priority }) => priority > request.priority);
    if (after < 0) this.#queue.push(request);
    else this.#queue.splice(after, 0, request);
  }

  /**
   * Cancels a request.
   * @param id - id of the request
   */
  cancel(id: number): void {
    const before = this.open;
    this.#queue = this.#queue.filter((request) => request.id !== id);
    this.#prefills = this.#prefills.filter(({ request }) => request.id !== id);
    if (this.open === before) this.#cancelled.add(id);
  }

  /**
   * Runs one step of the batch.
   * @param outputs - array to which first tokens and ends of this step are appended
   * @returns duration of the step in milliseconds; 0 if the worker is idle or silent
   */
  step(outputs: WorkerOutput[]): number {
    if (this.open === 0 || this.silent) return 0;
    this.#admit();
    this.#step += 1;
    const computed = this.#prefill(outputs);
    this.#finish(outputs);
    const active = this.#running + this.#prefills.length;
    const ms = BASE_STEP_MS + STEP_MS_PER_REQUEST * active + PREFILL_MS_PER_TOKEN * computed;
    return ms * this.slowdownFactor;
  }

  #admit(): void {
    while (this.#queue.length > 0 && this.#running + this.#prefills.length < WORKER_SLOTS) {
      const request = this.#queue.shift();
      if (!request) return;
      const cached = this.#countCachedBlocks(request.digests) * BLOCK_TOKENS;
      const prompt = request.digests.length * BLOCK_TOKENS + request.tailTokens;
      this.promptTokens += prompt;
      this.cachedTokens += cached;
      this.#prefills.push({ request, left: prompt - cached });
    }
  }

  #prefill(outputs: WorkerOutput[]): number {
    let remaining = PREFILL_TOKENS_PER_STEP;
    while (remaining > 0) {
      const [prefill] = this.#prefills;
      if (!prefill) break;
      const part = Math.min(remaining, prefill.left);
      prefill.left -= part;
      remaining -= part;
      if (prefill.left > 0) break;
      this.#prefills.shift();
      this.#begin(prefill.request, outputs);
    }
    return PREFILL_TOKENS_PER_STEP - remaining;
  }

  #begin(request: ModelRequest, outputs: WorkerOutput[]): void {
    outputs.push({ kind: 'first-token', request });
    this.#store(request.digests);
    this.#running += 1;
    const end = this.#step + request.outputTokens;
    const ending = this.#ending.get(end);
    if (ending) ending.push(request);
    else this.#ending.set(end, [request]);
  }

  #finish(outputs: WorkerOutput[]): void {
    const ended = this.#ending.get(this.#step) ?? [];
    this.#ending.delete(this.#step);
    this.#running -= ended.length;
    ended.forEach((request) => {
      if (!this.#cancelled.delete(request.id)) outputs.push({ kind: 'end', request });
    });
  }

  #countCachedBlocks(digests: readonly number[]): number {
    let blocks = 0;
    while (blocks < digests.length && this.#cache.has(digests[blocks] ?? 0)) blocks += 1;
    return blocks;
  }

  #store(digests: readonly number[]): void {
    // Blocks are refreshed from last to first, so that eviction removes the end of a prompt before
    // its beginning.
    digests.toReversed().forEach((digest) => {
      this.#cache.delete(digest);
      this.#cache.set(digest, true);
    });
    for (const digest of this.#cache.keys()) {
      if (this.#cache.size <= CACHE_BLOCKS) return;
      this.#cache.delete(digest);
    }
  }
}
