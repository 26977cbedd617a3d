/** Operators who publish at the same time through different daemons, while answers get lost. */
import { request } from 'undici';

import { MANIFEST_KEY, parseStoredManifest } from '../src/config/index.js';
import { OPERATOR_KEY } from '../testbed/daemonprocess.js';
import { ensure } from './proof.js';

import type { Documents, PublicationView } from '../src/config/index.js';
import type { FailureBody } from '../src/kernel/index.js';
import type { DaemonProcess } from '../testbed/daemonprocess.js';
import type { Fleet } from '../testbed/fleet.js';

/** Runs of one publication before it must have come to an end. */
const MAX_ATTEMPTS = 40;

/** Longest wait for an answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 10_000;

/** One operator's publication. */
export interface Contender {
  readonly daemon: DaemonProcess;
  readonly operation: string;
  readonly author: string;
  readonly base: number;
  readonly documents: Documents;
}

/** What an operator was told in the end. */
export interface PublishOutcome {
  readonly contender: Contender;
  /** Revision of the publication; undefined if another came first. */
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
 * Publishes, again with the same operation id while the outcome is not known.
 * @param contender - the publication
 * @returns what the operator was told
 */
export async function publishUntilKnown(contender: Contender): Promise<PublishOutcome> {
  let last = '';
  for (let runs = 1; runs <= MAX_ATTEMPTS; runs += 1) {
    // An operator runs the command again only after its end.
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
  throw new Error(`${contender.operation} came to no end: ${last}`);
}

/**
 * Checks the verdicts of a race against what the store holds.
 * @param fleet - the fleet
 * @param base - revision before the race
 * @param outcomes - what the operators were told
 * @returns the revision of the winner
 */
export function checkRace(fleet: Fleet, base: number, outcomes: readonly PublishOutcome[]): number {
  const { history, manifest } = parseStoredManifest(fleet.store.peek(MANIFEST_KEY));
  const winners = outcomes.filter(({ revision }) => revision !== undefined);
  ensure(winners.length === 1, `${winners.length} operators were told that they won the race`);
  ensure(manifest.revision === base + 1, `the race left revision ${manifest.revision}`);
  const [record] = history;
  const winner = winners[0]?.contender;
  ensure(record?.operation === winner?.operation, 'the winner is not the one that is in force');
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
