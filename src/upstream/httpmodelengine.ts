/** Client of model engines with the chat completions API over HTTP. */
import { Agent } from 'undici';

import type { Dispatcher } from 'undici';
import { Err, failure, Ok, readBounded } from '../kernel/index.js';
import { AnswerReader } from './answerreader.js';
import { ModelEngine } from './modelengine.js';
import { wasNeverSent } from './unsent.js';

import type { Failure, Result } from '../kernel/index.js';
import type { ModelCall, StreamItem } from './modelcall.js';

/** Timeout for opening a connection, in milliseconds; also that of a cancellation. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Largest body of a refusal, in bytes; only its beginning is used. */
const MAX_REFUSAL_BYTES = 65_536;

/** Calls model engines over HTTP. */
export class HttpModelEngine extends ModelEngine {
  readonly #agent = new Agent({ pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS } });

  override async generate(
    url: string,
    call: ModelCall,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<StreamItem>, Failure>> {
    try {
      const res = await this.#agent.request(this.#options(url, call, signal));
      if (res.statusCode === 200) return Ok(new AnswerReader(call).read(res.body));
      const text = (await readBounded(res.body, MAX_REFUSAL_BYTES)).toString('utf8', 0, 200);
      const code =
        res.statusCode < 500 && res.statusCode !== 429
          ? 'upstream-refused'
          : 'upstream-unavailable';
      return Err(failure(code, `${url}: status ${res.statusCode} ${text}`));
    } catch (err) {
      if (wasNeverSent(err)) return Err(failure('upstream-unavailable', url));
      return Err(failure('upstream-lost', `${url}: ${String(err)}`, 'unknown'));
    }
  }

  override async cancel(url: string, id: string): Promise<boolean> {
    try {
      const res = await this.#agent.request({
        origin: url,
        method: 'DELETE',
        path: `/v1/requests/${encodeURIComponent(id)}`,
        headersTimeout: CONNECT_TIMEOUT_MS,
        bodyTimeout: CONNECT_TIMEOUT_MS,
      });
      await res.body.dump();
      return res.statusCode < 300;
    } catch {
      return false;
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #options(url: string, call: ModelCall, signal: AbortSignal): Dispatcher.RequestOptions {
    return {
      origin: url,
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', 'x-request-id': call.id },
      headersTimeout: call.firstByteMs,
      bodyTimeout: call.silenceMs,
      signal,
      body: JSON.stringify({
        model: call.model,
        messages: call.messages,
        max_tokens: call.maxTokens,
        priority: call.priority,
        prefix_digests: call.prefixDigests,
        stream: true,
        stream_options: { include_usage: true },
      }),
    };
  }
}
