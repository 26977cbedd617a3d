/** Waits until a revision, or a later one, is in force at every live daemon. */
import { setTimeout as delay } from 'node:timers/promises';

import { SECOND_MS } from '../kernel/index.js';
import { EXIT_CODES } from './exitcodes.js';
import { printResult, printNote } from './output.js';

import type { PublicationView } from '../config/index.js';
import type { RolloutView } from '../daemon/configexchange.js';
import type { OperatorClient } from './client.js';
import type { GlobalArgs } from './output.js';

/** Interval between polls, in milliseconds. */
const POLL_INTERVAL_MS = 100;

/** A publication, and its rollout over the live daemons. */
export interface RolloutResult extends PublicationView {
  /** Number of daemons that have the revision, or a later one, in force. */
  readonly daemons: number;
  /** Daemons that have an earlier revision in force, or do not answer. */
  readonly missing: readonly RolloutView[];
}

async function fetchRollout(
  client: OperatorClient,
  published: PublicationView,
): Promise<RolloutResult | undefined> {
  const answer = await client.get<readonly RolloutView[]>('rollout');
  if (answer.err) return undefined;
  const missing = answer.val.filter(({ revision }) => (revision ?? 0) < published.revision);
  return { ...published, daemons: answer.val.length - missing.length, missing };
}

function describeDaemon({ instance, revision }: RolloutView): string {
  return `${instance} ${revision === null ? 'does not answer' : `has revision ${revision}`}`;
}

/**
 * Polls until every live daemon has the revision, or a later one, in force or the timeout expires, then
 * prints the publication and any daemons that still have an earlier revision or do not answer.
 * @param argv - options of the command, with the timeout in seconds
 * @param client - client of a daemon
 * @param published - the publication
 * @param render - formats the publication as text
 */
export async function awaitRollout(
  argv: GlobalArgs & { readonly waitSeconds: number },
  client: OperatorClient,
  published: PublicationView,
  render: (view: PublicationView) => string,
): Promise<void> {
  const deadline = Date.now() + argv.waitSeconds * SECOND_MS;
  let result = await fetchRollout(client, published);
  while ((!result || result.missing.length > 0) && Date.now() < deadline) {
    // Polls are sequential.
    /* eslint-disable no-await-in-loop */
    await delay(POLL_INTERVAL_MS);
    result = await fetchRollout(client, published);
    /* eslint-enable no-await-in-loop */
  }
  if (!result) {
    printResult(argv, published, render);
    printNote('the daemon stopped answering; run "comfreyreel status" against another one');
    process.exitCode = EXIT_CODES.unknown;
    return;
  }
  printResult(argv, result, (found) => `${render(found)}, in force at ${found.daemons} daemons`);
  if (result.missing.length === 0) return;
  printNote(`not in force yet: ${result.missing.map(describeDaemon).join(', ')}`);
  process.exitCode = EXIT_CODES.unknown;
}
