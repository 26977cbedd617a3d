/** Client that sends orders to upstreams over HTTP. */
import { Agent } from 'undici';
import * as z from 'zod';

import { Err, failure, Ok, readJson, timeLimitSignal } from '../kernel/index.js';
import { OrderClient } from './orderclient.js';
import { wasNeverSent } from './unsent.js';

import type { Failure, Result } from '../kernel/index.js';
import type { FencedOrder, UpstreamState } from './orderclient.js';

/** Timeout for reading the state and for raising the fencing token, in milliseconds. */
const READ_TIMEOUT_MS = 1_500;

const CONFLICT_STATUS = 409;

/** Largest state, in bytes. */
const MAX_STATE_BYTES = 1_048_576;

const stateSchema = z.object({
  open: z.number().int().nullable().default(null),
  orders: z.array(z.string()).readonly(),
});

/** Calls the orders API of upstreams over HTTP. */
export class HttpOrderClient extends OrderClient {
  readonly #agent = new Agent({ pipelining: 0 });

  override send(
    url: string,
    order: FencedOrder,
    timeoutMs: number,
  ): Promise<Result<void, Failure>> {
    return this.#put(url, '/orders', order, timeoutMs);
  }

  override raiseFence(url: string, fence: number): Promise<Result<void, Failure>> {
    return this.#put(url, '/orders/fence', { fence }, READ_TIMEOUT_MS);
  }

  override async state(url: string): Promise<Result<UpstreamState, Failure>> {
    try {
      const signal = timeLimitSignal(READ_TIMEOUT_MS);
      const res = await this.#agent.request({
        origin: url,
        method: 'GET',
        path: '/orders',
        signal,
      });
      return Ok(stateSchema.parse(await readJson(res.body, MAX_STATE_BYTES)));
    } catch (err) {
      return Err(failure('upstream-unavailable', `${url}: ${String(err)}`));
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #put(
    url: string,
    path: string,
    body: object,
    timeoutMs: number,
  ): Promise<Result<void, Failure>> {
    try {
      const res = await this.#agent.request({
        origin: url,
        method: 'PUT',
        path,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: timeLimitSignal(timeoutMs),
      });
      await res.body.dump();
      if (res.statusCode < 300) return Ok(undefined);
      const outcome = res.statusCode === CONFLICT_STATUS ? 'not-run' : 'unknown';
      return Err(failure('upstream-refused', `${url}: status ${res.statusCode}`, outcome));
    } catch (err) {
      const outcome = wasNeverSent(err) ? 'not-run' : 'unknown';
      return Err(failure('outcome-unknown', `${url}: ${String(err)}`, outcome));
    }
  }
}
