/** Measures the time of one routing decision. */
import { seededRandom } from '../testbed/seed.js';
import { AffinityPolicy, RetryBudget, RouteScheduler } from '../src/route/index.js';

import type { BenchContext, Figure } from './figure.js';

const WARM_UP_DECISIONS = 20_000;
const DECISIONS = 50_000;
const CONCURRENCY = 64;
const DIGESTS_PER_PROMPT = 13;
const PREFIXES = 3_000;

/** Numbers of workers, each with the bound of a decision in microseconds. */
const POOLS = [
  { workers: 6, bound: 20 },
  { workers: 1_000, bound: 60 },
] as const;

function decide(scheduler: RouteScheduler, random: () => number, count: number): void {
  for (let index = 0; index < count; index += 1) {
    const prefix = Math.floor(random() * PREFIXES);
    const digests = Array.from(
      { length: DIGESTS_PER_PROMPT },
      (_, block) => prefix * DIGESTS_PER_PROMPT + block,
    );
    const ticket = {
      id: String(index),
      workspace: `w${prefix % 10}`,
      priority: 'normal' as const,
      digests,
      isRetry: false,
      excluded: [],
      deadline: index + 1_000,
    };
    for (const command of scheduler.handle({ type: 'submit', ticket }, index)) {
      if (command.type === 'dispatch') {
        // Each request ends at once, so that the loads stay at the reported values.
        const end = {
          type: 'end',
          worker: command.worker,
          workspace: ticket.workspace,
          failed: false,
        } as const;
        [...scheduler.handle(end, index)].forEach(() => undefined);
      }
    }
  }
}

function microsecondsPerDecision(workers: number, seed: number): number {
  const random = seededRandom(seed);
  const scheduler = new RouteScheduler({
    policy: new AffinityPolicy({ random }),
    retries: new RetryBudget(),
    daemons: () => 8,
    random,
  });
  const names = Array.from({ length: workers }, (_, index) => `worker-${index}`);
  const documents = names.map((name) => ({
    name,
    state: 'serving' as const,
    concurrency: CONCURRENCY,
  }));
  [...scheduler.handle({ type: 'workers', documents }, 0)].forEach(() => undefined);
  names.forEach((worker) => {
    const report = { open: Math.floor(CONCURRENCY * (0.6 + 0.3 * random())), ageMs: 0 };
    [...scheduler.handle({ type: 'report', worker, report }, 0)].forEach(() => undefined);
  });
  decide(scheduler, random, WARM_UP_DECISIONS);
  const began = performance.now();
  decide(scheduler, random, DECISIONS);
  return ((performance.now() - began) / DECISIONS) * 1_000;
}

/**
 * Measures the mean time to submit, dispatch and end one request.
 * @param ctx - context of the benchmark, of which only the seed is used
 * @returns the time in microseconds, for each number of workers
 */
export function decisionFigures({ seed }: BenchContext): readonly Figure[] {
  return POOLS.map(({ workers, bound }) => ({
    name: `decision.${workers}-workers`,
    value: microsecondsPerDecision(workers, seed),
    unit: 'us',
    bound,
    comparison: 'at-most',
  }));
}
