/** Procedure that serves one request: reservation, claim, attempts and charge. */
import { failure } from '../kernel/index.js';

import type { Failure, Procedure } from '../kernel/index.js';

/** Properties of a request that the procedure needs. */
export interface ServeRequest {
  /** Maximum units that the request can cost. */
  readonly worstCase: number;
  readonly idempotent: boolean;
  /** Maximum number of attempts after the first. */
  readonly retries: number;
}

/** Commands that the procedure yields to its executor. */
export type ServeCommand =
  | { readonly type: 'reserve'; readonly units: number }
  | { readonly type: 'claim' }
  | { readonly type: 'unclaim' }
  | { readonly type: 'choose'; readonly excluded: readonly string[] }
  | { readonly type: 'dispatch'; readonly upstream: string }
  | { readonly type: 'relay'; readonly upstream: string }
  | { readonly type: 'record'; readonly units: number }
  | { readonly type: 'release' };

/** Result of a command. */
export type ServeEvent =
  | { readonly type: 'done' }
  | { readonly type: 'chosen'; readonly upstream: string }
  | { readonly type: 'answered'; readonly units: number }
  | { readonly type: 'cut'; readonly fail: Failure; readonly relayed: boolean }
  | { readonly type: 'failed'; readonly fail: Failure };

/** Outcome of a request. */
export type ServeOutcome =
  | { readonly type: 'whole'; readonly units: number }
  | { readonly type: 'refused'; readonly fail: Failure };

type Serving<Outcome> = Procedure<ServeCommand, ServeEvent, Outcome>;

/** Result of one attempt: an answer, or a failure and whether another attempt may follow. */
type Attempt =
  | { readonly type: 'answered'; readonly units: number }
  | { readonly type: 'failed'; readonly fail: Failure; readonly again: boolean };

function failureOf(event: ServeEvent, fallback: Failure): Failure {
  return event.type === 'failed' || event.type === 'cut' ? event.fail : fallback;
}

function* attempt(req: ServeRequest, upstream: string): Serving<Attempt> {
  const opened = yield { type: 'dispatch', upstream };
  if (opened.type === 'failed') {
    const again = opened.fail.outcome === 'not-run' || req.idempotent;
    return { type: 'failed', fail: opened.fail, again };
  }
  const relayed = yield { type: 'relay', upstream };
  if (relayed.type === 'answered') return relayed;
  const fail = failureOf(relayed, failure('upstream-lost', upstream, 'interrupted'));
  const again = req.idempotent && relayed.type === 'cut' && !relayed.relayed;
  return { type: 'failed', fail, again };
}

/** Summary of the failed attempts so far. */
interface FailedAttempts {
  /** Upstreams of the failed attempts. */
  readonly excluded: readonly string[];
  /** Failure of the last attempt that may have run; reported instead of a later "not-run" failure. */
  readonly possiblyRun: Failure | undefined;
}

function* attempts(req: ServeRequest): Serving<Attempt> {
  let tried: FailedAttempts = { excluded: [], possiblyRun: undefined };
  for (let count = 0; ; count += 1) {
    const choice = yield { type: 'choose', excluded: tried.excluded };
    if (choice.type !== 'chosen') {
      const fail = tried.possiblyRun ?? failureOf(choice, failure('upstream-unavailable', 'route'));
      return { type: 'failed', fail, again: false };
    }
    const result = yield* attempt(req, choice.upstream);
    if (result.type === 'answered' || !result.again) return result;
    const mayHaveRun = result.fail.outcome !== 'not-run';
    tried = {
      excluded: [...tried.excluded, choice.upstream],
      possiblyRun: mayHaveRun ? result.fail : tried.possiblyRun,
    };
    if (count >= req.retries) return { ...result, fail: tried.possiblyRun ?? result.fail };
  }
}

/**
 * Serves one request.
 * The last frame of the answer may be sent only after the outcome "whole", because only then is the
 * charge durable.
 * @param req - the request
 * @returns the procedure, which returns the outcome
 */
export function* serve(req: ServeRequest): Serving<ServeOutcome> {
  const reserved = yield { type: 'reserve', units: req.worstCase };
  if (reserved.type === 'failed') return { type: 'refused', fail: reserved.fail };
  if (!req.idempotent) {
    const claimed = yield { type: 'claim' };
    if (claimed.type === 'failed') {
      yield { type: 'release' };
      return { type: 'refused', fail: claimed.fail };
    }
  }
  const result = yield* attempts(req);
  if (result.type === 'failed') {
    if (!req.idempotent && result.fail.outcome === 'not-run') yield { type: 'unclaim' };
    yield { type: 'release' };
    return { type: 'refused', fail: result.fail };
  }
  const units = Math.min(result.units, req.worstCase);
  const recorded = yield { type: 'record', units };
  if (recorded.type === 'failed') return { type: 'refused', fail: recorded.fail };
  return { type: 'whole', units };
}
