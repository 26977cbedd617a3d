/** HTTP client of the object API. */
import { Agent } from 'undici';
import * as z from 'zod';

import type { Dispatcher } from 'undici';
import { Err, Ok, readJson, timeLimitSignal } from '../kernel/index.js';
import { ObjectStore } from './objectstore.js';

import type { Result } from '../kernel/index.js';
import type { ObjectChange, StoredObject, StoreError, WatchBatch } from './objectstore.js';

/** Timeout of a call, in milliseconds; it also ends calls on an unresponsive connection. */
const CALL_TIMEOUT_MS = 1_500;

/** Time that a watch may take beyond its requested wait, in milliseconds. */
const WATCH_GRACE_MS = 1_500;

/** Largest answer, in bytes: a list of all objects of a kind. */
const MAX_ANSWER_BYTES = 16_777_216;

const CONFLICT_STATUS = 412;

const objectSchema = z.object({ version: z.number(), value: z.unknown() });
const versionSchema = z.object({ version: z.number() });
const changesSchema = z.array(z.object({ key: z.string(), version: z.number() }));
const listSchema = z.object({ changes: changesSchema });
const watchSchema = z.object({ changes: changesSchema, position: z.number() });

/** One HTTP request to the store. */
interface Call {
  readonly method: Dispatcher.HttpMethod;
  readonly key: string;
  readonly path: string;
  readonly body?: string;
  readonly waitMs?: number;
}

/** Status and parsed body of a response. */
interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** Object store that is accessed over HTTP. */
export class HttpObjectStore extends ObjectStore {
  readonly #agent = new Agent({ connections: 64, pipelining: 1, connectTimeout: CALL_TIMEOUT_MS });

  /**
   * Creates a client.
   * @param base - base URL, "http://IP:port"
   */
  constructor(private readonly base: string) {
    super();
  }

  override async read(key: string): Promise<Result<StoredObject, StoreError>> {
    const answer = await this.#call({ method: 'GET', key, path: this.#objectPath(key) });
    if (answer.err) return answer;
    return this.#decode(key, answer.val, objectSchema).map(({ version, value }) => ({
      key,
      version,
      value,
    }));
  }

  override async write(
    key: string,
    value: unknown,
    expected: number,
  ): Promise<Result<number, StoreError>> {
    const path = `${this.#objectPath(key)}?expected=${expected}`;
    const answer = await this.#call({ method: 'PUT', key, path, body: JSON.stringify(value) });
    if (answer.err) return answer;
    return this.#decode(key, answer.val, versionSchema).map(({ version }) => version);
  }

  override async remove(key: string, expected: number): Promise<Result<number, StoreError>> {
    const path = `${this.#objectPath(key)}?expected=${expected}`;
    const answer = await this.#call({ method: 'DELETE', key, path });
    if (answer.err) return answer;
    return this.#decode(key, answer.val, versionSchema).map(({ version }) => version);
  }

  override async list(prefix: string): Promise<Result<readonly ObjectChange[], StoreError>> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const answer = await this.#call({ method: 'GET', key: prefix, path });
    if (answer.err) return answer;
    return this.#decode(prefix, answer.val, listSchema).map(({ changes }) => changes);
  }

  override async watch(
    prefix: string,
    position: number,
    waitMs: number,
  ): Promise<Result<WatchBatch, StoreError>> {
    const path = `/watch?prefix=${encodeURIComponent(prefix)}&position=${position}&waitMs=${waitMs}`;
    const answer = await this.#call({ method: 'GET', key: prefix, path, waitMs });
    return answer.err ? answer : this.#decode(prefix, answer.val, watchSchema);
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Validates the body of an answer. A call whose answer cannot be read may have taken effect. */
  #decode<Value>(
    key: string,
    { body }: Answer,
    schema: z.ZodType<Value>,
  ): Result<Value, StoreError> {
    const parsed = schema.safeParse(body);
    if (parsed.success) return Ok(parsed.data);
    const text = `invalid answer from ${this.base}: ${parsed.error.issues[0]?.message ?? ''}`;
    return Err({ problem: 'lost', key, text });
  }

  #objectPath(key: string): string {
    return `/objects/${encodeURIComponent(key)}`;
  }

  async #call(call: Call): Promise<Result<Answer, StoreError>> {
    const { key } = call;
    try {
      const answer = await this.#exchange(call);
      if (answer.status === CONFLICT_STATUS) {
        return Err({
          problem: 'conflict',
          key,
          text: 'the stored version is not the expected one',
        });
      }
      if (answer.status >= 500)
        return Err({ problem: 'lost', key, text: `status ${answer.status}` });
      if (answer.status >= 400) {
        return Err({ problem: 'refused', key, text: `status ${answer.status}` });
      }
      return Ok(answer);
    } catch (err) {
      return Err({ problem: 'lost', key, text: String(err) });
    }
  }

  async #exchange({ method, path, body, waitMs }: Call): Promise<Answer> {
    const timeoutMs = waitMs === undefined ? CALL_TIMEOUT_MS : waitMs + WATCH_GRACE_MS;
    const res = await this.#agent.request({
      origin: this.base,
      method,
      path,
      body: body ?? null,
      // Many servers reject a content type without a body.
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      signal: timeLimitSignal(timeoutMs),
    });
    return { status: res.statusCode, body: await readJson(res.body, MAX_ANSWER_BYTES) };
  }
}
