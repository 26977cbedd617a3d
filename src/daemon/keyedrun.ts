/** Serves requests under their idempotency keys. */
import { drive, failure } from '../kernel/index.js';
import { UNSEEN_KEY, withProvenOutcome, refuseKey, serve } from '../request/index.js';

import type { Failure } from '../kernel/index.js';
import type { KeyFindings, KeyName, ServeOutcome, ServeRequest } from '../request/index.js';
import type { RequestRun } from './requestrun.js';
import type { ServingContext } from './servingcontext.js';

/** Rules for retrying a request. */
export type RunPolicy = Pick<ServeRequest, 'idempotent' | 'retries'>;

function nameOf({ input }: RequestRun): KeyName {
  return { workspace: input.tenant.workspace.name, key: input.key };
}

async function recordOutcome(
  run: RequestRun,
  findings: KeyFindings,
  outcome: ServeOutcome,
): Promise<void> {
  const { keys } = run.input.serving;
  const name = nameOf(run);
  if (outcome.type === 'whole') await keys.recordProgress(name, 'answered', null);
  else if (run.dispatched) await keys.recordProgress(name, 'cut', null);
  else await keys.withdraw(name, findings.earlier);
}

/**
 * Returns the outcome after an internal error: "unknown", since the request may have run. For the
 * same reason the reserved units are not released here.
 */
function failedRun({ input }: RequestRun, err: unknown): ServeOutcome {
  input.serving.recorder.record('requestFailed', { request: input.key, detail: String(err) });
  return { type: 'refused', fail: failure('internal', `key ${input.key}`, 'unknown') };
}

/**
 * Serves a request. A refusal has the outcome "not-run" only if it is certain that no attempt with
 * the key was dispatched.
 * @param run - executes the commands of the request
 * @param policy - rules for retries
 * @param digest - digest of the request body
 * @returns the outcome
 */
export async function serveKeyed(
  run: RequestRun,
  policy: RunPolicy,
  digest: string,
): Promise<ServeOutcome> {
  const { serving, keyGiven, worstCase } = run.input;
  const { keys } = serving;
  const name = nameOf(run);
  const findings = keyGiven ? await keys.begin(name, digest) : UNSEEN_KEY;
  const refusal = refuseKey(findings, digest);
  if (refusal) return { type: 'refused', fail: refusal };
  keys.markRunning(name);
  const outcome = await drive(serve({ ...policy, worstCase }), (command) =>
    run.perform(command),
  ).catch((err: unknown) => failedRun(run, err));
  keys.markEnded(name);
  if (keyGiven) void recordOutcome(run, findings, outcome);
  if (outcome.type === 'whole') return outcome;
  return { type: 'refused', fail: withProvenOutcome(outcome.fail, findings) };
}

/**
 * Corrects the outcome of a refusal that is decided before the request is served: "not-run" remains
 * only if it is certain that no attempt with the key was dispatched.
 * @param serving - tasks of the daemon
 * @param name - workspace and key, as the caller gave it
 * @param fail - the refusal
 * @returns the refusal with the corrected outcome
 */
export async function refuseKeyed(
  serving: ServingContext,
  name: KeyName,
  fail: Failure,
): Promise<Failure> {
  return withProvenOutcome(fail, await serving.keys.query(name));
}
