/** Client that calls plain services over HTTP. */
import { Agent } from 'undici';

import { Err, failure, Ok } from '../kernel/index.js';
import { PlainService } from './plainservice.js';
import { wasNeverSent } from './unsent.js';

import type { Failure, Result } from '../kernel/index.js';
import type { ServiceAnswer, ServiceCall } from './plainservice.js';

/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Calls plain services over HTTP. */
export class HttpPlainService extends PlainService {
  // No connection is reused: if the service closed an idle one as a call was sent, its outcome would be unknown.
  readonly #agent = new Agent({ pipelining: 0, connect: { timeout: CONNECT_TIMEOUT_MS } });

  override async call(url: string, call: ServiceCall): Promise<Result<ServiceAnswer, Failure>> {
    try {
      const res = await this.#agent.request({
        origin: url,
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
      const contentType = String(res.headers['content-type'] ?? 'application/octet-stream');
      const body = Buffer.from(await res.body.arrayBuffer());
      return Ok({ status: res.statusCode, contentType, body });
    } catch (err) {
      if (wasNeverSent(err)) return Err(failure('upstream-unavailable', url));
      return Err(failure('outcome-unknown', `${url}: ${String(err)}`, 'unknown'));
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
