/** Client that calls plain services over HTTP. */
import { Client } from 'undici';

import type { Dispatcher } from 'undici';
import { Err, failure, Ok, readBounded } from '../kernel/index.js';
import { PlainService } from './plainservice.js';
import { wasNeverSent } from './unsent.js';
import { WatchedSocket } from './watchedsocket.js';

import type { Failure, Result } from '../kernel/index.js';
import type { ServiceAnswer, ServiceCall } from './plainservice.js';

/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Largest body of an answer, in bytes: it is held in memory as a whole. */
const MAX_ANSWER_BYTES = 16_777_216;

/** Highest status code that has a meaning (RFC 9110, section 15). */
const LAST_STATUS = 599;

/** Statuses whose answers have no body. */
const EMPTY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Whether a body that was read to its end is whole. The HTTP client checks lengths and chunks; a body with neither ends with its connection,
 * which must have been closed rather than reset.
 */
function isWhole(
  { headers, statusCode }: Dispatcher.ResponseData,
  { ending }: WatchedSocket,
): boolean {
  const isFramed = 'content-length' in headers || 'transfer-encoding' in headers;
  return isFramed || EMPTY_STATUSES.has(statusCode) || ending !== 'reset';
}

/** Calls plain services over HTTP. */
export class HttpPlainService extends PlainService {
  readonly #clients = new Set<Client>();

  override async call(url: string, call: ServiceCall): Promise<Result<ServiceAnswer, Failure>> {
    const socket = new WatchedSocket();
    try {
      const client = this.#open(url, socket);
      const res = await client.request({
        method: call.method,
        path: call.path,
        headers: {
          'content-type': call.contentType,
          'idempotency-key': call.key,
          'x-request-id': call.id,
        },
        headersTimeout: call.timeoutMs,
        bodyTimeout: call.timeoutMs,
        body: call.body.length > 0 ? call.body : null,
      });
      if (res.statusCode > LAST_STATUS) throw new Error(`answer with status ${res.statusCode}`);
      const contentType = String(res.headers['content-type'] ?? 'application/octet-stream');
      const noteBody = (bytes: number): void => socket.noteBody(bytes);
      const body = await readBounded(res.body, MAX_ANSWER_BYTES, noteBody);
      if (!isWhole(res, socket)) throw new Error('the connection was reset within the answer');
      return Ok({ status: res.statusCode, contentType, body });
    } catch (err) {
      if (wasNeverSent(err)) return Err(failure('upstream-unavailable', url));
      return Err(failure('outcome-unknown', `${url}: ${String(err)}`, 'unknown'));
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await Promise.all([...this.#clients].map((client) => client.destroy()));
  }

  /**
   * Creates the client of one call. No connection is reused: if the service closed an idle one as a call was sent, its
   * outcome would be unknown.
   */
  #open(url: string, socket: WatchedSocket): Client {
    const connect = socket.connector(CONNECT_TIMEOUT_MS);
    const client = new Client(url, { pipelining: 0, connect });
    this.#clients.add(client);
    client.once('disconnect', () => {
      this.#clients.delete(client);
      client.destroy(() => undefined);
    });
    client.once('connectionError', () => {
      this.#clients.delete(client);
    });
    return client;
  }
}
