/** Client of the operators' interface of a daemon. */
import { request } from 'undici';

/** Longest wait for an answer, in milliseconds. */
const TIMEOUT_MS = 15_000;

/** Where a daemon is and with what key it lets operators in. */
export interface ClientConfig {
  readonly url: string;
  readonly key: string;
}

/** An answer of a daemon. */
export interface ClientAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Sends operators' calls to one daemon. */
export class OperatorClient {
  /**
   * Creates a client.
   * @param cfg - address and key
   */
  constructor(private readonly cfg: ClientConfig) {}

  /**
   * Reads from the daemon.
   * @param path - path below "/operator/"
   * @returns status and parsed body
   */
  get(path: string): Promise<ClientAnswer> {
    return this.#call('GET', path, null);
  }

  /**
   * Sends an order to the daemon.
   * @param path - path below "/operator/"
   * @param body - the order
   * @returns status and parsed body
   */
  post(path: string, body: unknown): Promise<ClientAnswer> {
    return this.#call('POST', path, JSON.stringify(body));
  }

  async #call(method: 'GET' | 'POST', path: string, body: string | null): Promise<ClientAnswer> {
    const res = await request(`${this.cfg.url}/operator/${path}`, {
      method,
      headers: { authorization: `Bearer ${this.cfg.key}`, 'content-type': 'application/json' },
      body,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    return { status: res.statusCode, body: await res.body.json() };
  }
}
