/** HTTP client for the operator interface of a daemon. */
import { request } from 'undici';

import { Err, Ok, readJson } from '../kernel/index.js';

import type { FailureBody, Result } from '../kernel/index.js';

/** Timeout for the headers of an answer, and between chunks of its body, in milliseconds. */
const REQUEST_TIMEOUT_MS = 15_000;

/** Maximum number of attempts if no answer comes; safe because orders carry an operation id. */
const MAX_ORDER_ATTEMPTS = 3;

/** Largest answer, in bytes: a time line of many events. */
const MAX_ANSWER_BYTES = 67_108_864;

const FIRST_FAILURE_STATUS = 300;

/** Base URL of a daemon, and the operator key. */
export interface ClientConfig {
  readonly url: string;
  readonly key: string;
}

/** Failure of a call: the daemon refused it, or no answer came. */
export type ClientFailure =
  | { readonly kind: 'refused'; readonly body: FailureBody }
  | { readonly kind: 'no-answer'; readonly text: string };

/** Parsed body of an answer, or the failure. */
export type ClientAnswer<Body> = Result<Body, ClientFailure>;

/** Calls the operator interface of one daemon. */
export class OperatorClient {
  /**
   * Creates a client.
   * @param config - address and key
   */
  constructor(private readonly config: ClientConfig) {}

  /**
   * Sends a GET request.
   * @param path - path below "/operator/"
   * @returns parsed body, or the failure
   */
  get<Body>(path: string): Promise<ClientAnswer<Body>> {
    return this.#call('GET', path, null);
  }

  /**
   * Sends an order as a POST request, and repeats it if no answer comes. The operation id of an
   * order makes the repetition safe.
   * @param path - path below "/operator/"
   * @param order - the order
   * @returns parsed body, or the failure
   */
  async post<Body>(path: string, order: object): Promise<ClientAnswer<Body>> {
    const body = JSON.stringify(order);
    let answer: ClientAnswer<Body> = await this.#call('POST', path, body);
    for (let attempt = 1; attempt < MAX_ORDER_ATTEMPTS; attempt += 1) {
      if (answer.ok || answer.val.kind === 'refused') return answer;
      // Each attempt starts only after the previous one has failed.
      // eslint-disable-next-line no-await-in-loop
      answer = await this.#call('POST', path, body);
    }
    return answer;
  }

  async #call<Body>(
    method: 'GET' | 'POST',
    path: string,
    body: string | null,
  ): Promise<ClientAnswer<Body>> {
    try {
      const res = await request(`${this.config.url}/operator/${path}`, {
        method,
        headers: { authorization: `Bearer ${this.config.key}`, 'content-type': 'application/json' },
        body,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      const parsed = await readJson(res.body, MAX_ANSWER_BYTES);
      if (res.statusCode < FIRST_FAILURE_STATUS) return Ok(parsed as Body);
      return Err({ kind: 'refused', body: parsed as FailureBody });
    } catch (err) {
      return Err({ kind: 'no-answer', text: String(err) });
    }
  }
}
