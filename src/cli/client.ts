/** Client of the operators' interface of a daemon. */
import { request } from 'undici';

import { Err, Ok } from '../kernel/index.js';

import type { FailureBody, Result } from '../kernel/index.js';

/** Longest wait for an answer, in milliseconds. */
const REQUEST_TIMEOUT_MS = 15_000;

/** Attempts of an order whose answer is lost; orders carry an operation id. */
const MAX_ORDER_ATTEMPTS = 3;

const FIRST_FAILURE_STATUS = 300;

/** Where a daemon is and with what key it lets operators in. */
export interface ClientConfig {
  readonly url: string;
  readonly key: string;
}

/** Why there is no body: the daemon refused, or no answer came. */
export type ClientFailure =
  | { readonly kind: 'refused'; readonly body: FailureBody }
  | { readonly kind: 'no-answer'; readonly text: string };

/** The parsed body of an answer, or why there is none. */
export type ClientAnswer<Body> = Result<Body, ClientFailure>;

/** Sends operators' calls to one daemon. */
export class OperatorClient {
  /**
   * Creates a client.
   * @param config - address and key
   */
  constructor(private readonly config: ClientConfig) {}

  /**
   * Reads from the daemon.
   * @param path - path below "/operator/"
   * @returns parsed body
   */
  get<Body>(path: string): Promise<ClientAnswer<Body>> {
    return this.#call('GET', path, null);
  }

  /**
   * Sends an order to the daemon, again when its answer is lost: the order must be
   * idempotent, which its operation id makes it.
   * @param path - path below "/operator/"
   * @param order - the order
   * @returns parsed body
   */
  async post<Body>(path: string, order: object): Promise<ClientAnswer<Body>> {
    const body = JSON.stringify(order);
    let answer: ClientAnswer<Body> = await this.#call('POST', path, body);
    for (let attempt = 1; attempt < MAX_ORDER_ATTEMPTS; attempt += 1) {
      if (answer.ok || answer.val.kind === 'refused') return answer;
      // Attempts follow one another, each only after the last one failed.
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
      const parsed = await res.body.json();
      if (res.statusCode < FIRST_FAILURE_STATUS) return Ok(parsed as Body);
      return Err({ kind: 'refused', body: parsed as FailureBody });
    } catch (err) {
      return Err({ kind: 'no-answer', text: String(err) });
    }
  }
}
