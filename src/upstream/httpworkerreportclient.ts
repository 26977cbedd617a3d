/** Client that fetches worker reports over HTTP. */
import { Agent } from 'undici';
import * as z from 'zod';

import { Err, failure, Ok, readJson, timeLimitSignal } from '../kernel/index.js';
import { WorkerReportClient } from './workerreportclient.js';

import type { Failure, Result } from '../kernel/index.js';
import type { WorkerReport } from './workerreportclient.js';

/** Timeout of a report request, in milliseconds. */
const REPORT_TIMEOUT_MS = 800;

/** Largest report, in bytes: far above one of all blocks that a worker stores between two reports. */
const MAX_REPORT_BYTES = 1_048_576;

const reportSchema = z.object({
  open: z.number().nonnegative(),
  age_ms: z.number().nonnegative().default(0),
  sequence: z.number().default(0),
  stored: z.array(z.number()).default([]),
  evicted: z.array(z.number()).default([]),
});

/** Fetches worker reports over HTTP. */
export class HttpWorkerReportClient extends WorkerReportClient {
  readonly #agent = new Agent({
    pipelining: 1,
    connections: 1,
    connect: { timeout: REPORT_TIMEOUT_MS },
  });

  override async read(url: string, after: number): Promise<Result<WorkerReport, Failure>> {
    try {
      const res = await this.#agent.request({
        origin: url,
        method: 'GET',
        path: `/v1/load?after=${after}`,
        // Limits the whole exchange, since an unresponsive connection would delay the reports that follow.
        signal: timeLimitSignal(REPORT_TIMEOUT_MS),
      });
      if (res.statusCode !== 200) {
        await res.body.dump();
        return Err(failure('upstream-unavailable', `${url}: status ${res.statusCode}`));
      }
      const parsed = reportSchema.safeParse(await readJson(res.body, MAX_REPORT_BYTES));
      if (!parsed.success) return Err(failure('upstream-unavailable', `${url}: invalid report`));
      const { open, age_ms: ageMs, sequence, stored, evicted } = parsed.data;
      return Ok({ open, ageMs, sequence, stored, evicted });
    } catch (err) {
      return Err(failure('upstream-unavailable', `${url}: ${String(err)}`));
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
