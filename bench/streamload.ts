/** Load generator that opens many streams to one URL and measures the answers. */
import { build } from 'hdr-histogram-js';
import { Agent } from 'undici';

import type { Histogram } from 'hdr-histogram-js';
import type { StreamPlan } from './loadengine.js';

/** Microseconds per millisecond; histograms store whole microseconds. */
const US_PER_MS = 1_000;

/** Load to generate. */
export interface LoadOptions {
  readonly url: string;
  readonly apiKey: string;
  readonly streams: number;
  readonly tokens: number;
  readonly plan: StreamPlan;
  /** Period over which the starts of the streams are spread, in milliseconds. */
  readonly rampMs: number;
}

/** Results of a load run. */
export interface LoadResult {
  /** First-token delay beyond that of the engine, 95th percentile, in milliseconds. */
  readonly firstP95Ms: number;
  readonly tokensPerSecond: number;
  readonly whole: number;
}

/** Result of one stream. */
interface StreamResult {
  readonly whole: boolean;
  readonly bytes: number;
}

const DONE = Buffer.from('[DONE]');

async function runStream(
  agent: Agent,
  options: LoadOptions,
  firsts: Histogram,
): Promise<StreamResult> {
  const { plan, tokens, url, apiKey } = options;
  const began = performance.now();
  const res = await agent.request({
    origin: url,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { authorization: `Bearer ${apiKey}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'load',
      stream: true,
      max_tokens: tokens,
      messages: [{ role: 'user', content: JSON.stringify(plan) }],
    }),
    headersTimeout: 60_000,
    bodyTimeout: 60_000,
  });
  let bytes = 0;
  let last: Buffer = DONE;
  for await (const chunk of res.body) {
    if (bytes === 0) {
      const delay = performance.now() - began - plan.firstMs;
      firsts.recordValue(Math.max(1, Math.round(delay * US_PER_MS)));
    }
    last = chunk as Buffer;
    bytes += last.length;
  }
  return { whole: last.includes(DONE), bytes };
}

/**
 * Generates a load and waits until all streams have ended.
 * @param options - load to generate
 * @returns the results
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const agent = new Agent({ pipelining: 1 });
  const firsts = build();
  const began = performance.now();
  const streams = await Promise.all(
    Array.from({ length: options.streams }, async (_, index) => {
      const wait = (index * options.rampMs) / options.streams;
      await new Promise((resolve) => {
        setTimeout(resolve, wait);
      });
      return runStream(agent, options, firsts);
    }),
  );
  const seconds = (performance.now() - began) / 1_000;
  await agent.close();
  return {
    firstP95Ms: firsts.getValueAtPercentile(95) / US_PER_MS,
    tokensPerSecond: (options.streams * options.tokens) / seconds,
    whole: streams.filter(({ whole }) => whole).length,
  };
}
