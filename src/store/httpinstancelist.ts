/** HTTP client of the instance list. */
import { request } from 'undici';
import * as z from 'zod';

import { Err, Ok, readJson } from '../kernel/index.js';
import { InstanceList } from './instancelist.js';

import type { Result } from '../kernel/index.js';
import type { Instance } from './instancelist.js';

/** Timeout for the headers and for the body of the list, in milliseconds. */
const LIST_TIMEOUT_MS = 2_000;

/** Largest list, in bytes: some thousands of instances. */
const MAX_LIST_BYTES = 4_194_304;

const listSchema = z.object({
  instances: z.array(
    z.object({
      name: z.string(),
      dataCentre: z.string(),
      peerAddress: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Instance list that is fetched over HTTP. */
export class HttpInstanceList extends InstanceList {
  /**
   * Creates a client.
   * @param base - base URL, "http://IP:port"
   */
  constructor(private readonly base: string) {
    super();
  }

  override async fetch(): Promise<Result<readonly Instance[], string>> {
    try {
      const res = await request(`${this.base}/instances`, {
        headersTimeout: LIST_TIMEOUT_MS,
        bodyTimeout: LIST_TIMEOUT_MS,
      });
      return Ok(listSchema.parse(await readJson(res.body, MAX_LIST_BYTES)).instances);
    } catch (err) {
      return Err(`instance list at ${this.base}: ${String(err)}`);
    }
  }
}
