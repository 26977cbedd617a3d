/** Operators who publish concurrently through different daemons while responses are lost. */
import { request } from 'undici';

import { MANIFEST_KEY, parseStoredManifest } from '../src/config/index.js';
import { OPERATOR_KEY } from '../testbed/daemonprocess.js';
import { ensure } from './proof.js';

import type { Documents, PublicationView } from '../src/config/index.js';
import type { FailureBody } from '../src/kernel/index.js';
import type { DaemonProcess } from '../testbed/daemonprocess.js';
import type { Fleet } from '../testbed/fleet.js';

/** Maximum number of attempts until the outcome of a publication is known. */
const MAX_ATTEMPTS = 40;

/** Timeout of one attempt, in milliseconds. */
const ANSWER_TIMEOUT_MS = 10_000;

/** Publication of one of the competing operators. */
export interface Contender {
  readonly daemon: DaemonProcess;
  readonly operation: string;
  readonly author: string;
  readonly base: number;
  readonly documents: Documents;
}

/** Final result that an operator received. */
export interface PublishOutcome {
  readonly contender: Contender;
  /** Revision of the publication; undefined if another publication was accepted first. */
  readonly revision: number | undefined;
  readonly message: string;
  readonly runs: number;
}

type Answer = PublicationView | FailureBody;

async function publishOnce({ daemon, ...order }: Contender): Promise<Answer | undefined> {
  try {
    const res = await request(`${daemon.url}/operator/publish`, {
      method: 'POST',
      headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/json' },
      body: JSON.stringify(order),
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
    return (await res.body.json()) as Answer;
  } catch {
    return undefined;
  }
}

/**
 * Publishes, and retries with the same operation id until the outcome is known.
 * @param contender - the publication
 * @returns the result that the operator received
 */
export async function publishUntilKnown(contender: Contender): Promise<PublishOutcome> {
  let last = '';
  for (let runs = 1; runs <= MAX_ATTEMPTS; runs += 1) {
    // An operator retries only after the previous attempt has ended.
    // eslint-disable-next-line no-await-in-loop
    const answer = await publishOnce(contender);
    if (answer && 'revision' in answer) {
      return { contender, revision: answer.revision, message: answer.result, runs };
    }
    if (answer?.error.code === 'conflict') {
      return { contender, revision: undefined, message: answer.error.message, runs };
    }
    last = answer?.error.message ?? 'no answer';
  }
  throw new Error(`${contender.operation} still has no known outcome: ${last}`);
}

/**
 * Checks that exactly one publication won, as stored, and that the others were told why they lost.
 * @param fleet - the fleet
 * @param base - revision before the race
 * @param outcomes - results that the operators received
 * @returns the revision of the winner
 */
export function checkRace(fleet: Fleet, base: number, outcomes: readonly PublishOutcome[]): number {
  const { history, manifest } = parseStoredManifest(fleet.store.peek(MANIFEST_KEY));
  const winners = outcomes.filter(({ revision }) => revision !== undefined);
  ensure(
    winners.length === 1,
    `${winners.length} operators were told that their publication was accepted`,
  );
  ensure(manifest.revision === base + 1, `unexpected revision in the store: ${manifest.revision}`);
  const [record] = history;
  const winner = winners[0]?.contender;
  ensure(
    record?.operation === winner?.operation,
    'the accepted publication is not the one in the store',
  );
  outcomes
    .filter(({ revision }) => revision === undefined)
    .forEach(({ contender, message }) => {
      const named = [
        `revision ${base + 1} by ${winner?.author}`,
        `operation ${winner?.operation}`,
        new Date(record?.at ?? 0).toISOString(),
        `added budgets budget-${winner?.operation}`,
        `compared with revision ${base}`,
        'comfreyreel diff',
      ];
      const missing = named.filter((text) => !message.includes(text));
      ensure(missing.length === 0, `${contender.operation} was not told "${missing.join('", "')}"`);
    });
  return base + 1;
}
