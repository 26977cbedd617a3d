/** Callers that retry each request with the same key at random daemons until it succeeds. */
import { setTimeout as delay } from 'node:timers/promises';

import { callService } from '../testbed/caller.js';
import { API_KEY } from '../testbed/documents.js';
import { ensure } from './proof.js';

import type { ReceivedAnswer } from '../testbed/caller.js';
import type { Fleet } from '../testbed/fleet.js';

/** Delay before a caller retries, in milliseconds. */
const RETRY_DELAY_MS = 150;

/** Load that the callers generate. */
export interface DispatchLoad {
  readonly fleet: Fleet;
  readonly route: string;
  readonly calls: number;
  readonly attempts: number;
  /** Period over which the first attempts are spread at random, in milliseconds. */
  readonly spreadMs: number;
  readonly random: () => number;
}

/** All answers that one caller received for one key. */
export interface CallHistory {
  readonly key: string;
  readonly answers: readonly ReceivedAnswer[];
}

function runsOf(fleet: Fleet, key: string): number {
  return fleet.service.runs.find((entry) => entry.key === key)?.runs ?? 0;
}

async function dispatch(load: DispatchLoad, index: number): Promise<CallHistory> {
  const { fleet, route, random } = load;
  const key = `${route}-${index}`;
  const answers: ReceivedAnswer[] = [];
  await delay(random() * load.spreadMs);
  for (let attempt = 0; attempt < load.attempts; attempt += 1) {
    const daemon = fleet.daemon(Math.floor(random() * fleet.daemons.length));
    // A caller retries only after its previous attempt has ended.
    // eslint-disable-next-line no-await-in-loop
    const answer = await callService({
      url: daemon.url,
      apiKey: API_KEY,
      route,
      path: '/crews',
      key,
      body: { crew: index },
    });
    answers.push(answer);
    if (answer.outcome === 'not-run') {
      ensure(
        runsOf(fleet, key) === 0,
        `${key} was refused as not-run (${answer.code}) but had run`,
      );
    }
    if (answer.status === 200) return { key, answers };
    // eslint-disable-next-line no-await-in-loop
    await delay(RETRY_DELAY_MS);
  }
  return { key, answers };
}

/**
 * Runs all callers; checks every "not-run" outcome against the run count of the service.
 * @param load - load to generate
 * @returns the answers, by caller
 */
export async function dispatchAll(load: DispatchLoad): Promise<readonly CallHistory[]> {
  return Promise.all(Array.from({ length: load.calls }, (_, index) => dispatch(load, index)));
}

/**
 * Counts the answers by status, or by code and outcome.
 * @param histories - answers, by caller
 * @returns one line with the count of each kind of answer
 */
export function summary(histories: readonly CallHistory[]): string {
  const kinds = new Map<string, number>();
  histories
    .flatMap(({ answers }) => answers)
    .forEach(({ status, code, outcome }) => {
      const kind = code ? `${code}/${outcome}` : String(status);
      kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
    });
  return [...kinds].map(([kind, count]) => `${kind} ${count}`).join(', ');
}
