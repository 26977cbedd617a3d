/**
 * Decides the steps of one request: reservation of units, placement, attempts, retries and the outcome.
 * Performs no I/O.
 */
import { failure } from '../kernel/index.js';

import type { Failure, Procedure } from '../kernel/index.js';
import type { Repeatability } from './configuration.js';
import type { UpstreamRecord } from './upstreams.js';

/** How the upstream ended a connection. */
export type ConnectionEnding = 'closed' | 'reset';

/** How one attempt at an upstream ended. */
export type SendOutcome =
  /** The complete answer was relayed to the caller. */
  | {
      readonly kind: 'relayed';
      readonly status: number;
      /** State of the upstream connection at the end of the answer. */
      readonly ending: string;
    }
  /** No byte was sent to the upstream. */
  | { readonly kind: 'unsent'; readonly why: string }
  /**
   * No byte was sent, because the upstream has left, is leaving, has asked for a pause or has named a limit since it was
   * chosen, or the permit for it has expired.
   */
  | { readonly kind: 'withheld' }
  /** The upstream reports that it has not run the request. */
  | { readonly kind: 'not-run'; readonly status: number }
  /** The upstream ran the request and failed; its answer was discarded. */
  | { readonly kind: 'failed'; readonly status: number }
  /** The request may have run; no part of an answer was relayed to the caller. */
  | {
      readonly kind: 'lost';
      readonly why: string;
      readonly ending?: ConnectionEnding | undefined;
      /** Number of earlier requests on its connection, if one was sent. */
      readonly earlier?: number;
    }
  /** The answer broke off after a part of it was relayed to the caller. */
  | {
      readonly kind: 'cut';
      readonly why: string;
      readonly ending?: ConnectionEnding | undefined;
      /** Number of earlier requests on its connection. */
      readonly earlier?: number;
      /** Whether the answer was an event stream, which another upstream can continue. */
      readonly isStream: boolean;
    }
  /** The caller has disconnected. */
  | { readonly kind: 'left' }
  /** The time limit passed after the request was sent; no part of an answer was relayed to the caller. */
  | { readonly kind: 'timeout' }
  /** The process is about to exit; the request may have run, and no part of an answer was relayed. */
  | { readonly kind: 'stopped' };

/** Commands that the procedure yields. */
export type ServeCommand =
  | { readonly type: 'reserve' }
  | {
      readonly type: 'place';
      readonly excluded: readonly string[];
      /** Whether the request was sent to an upstream before. */
      readonly isRepeat: boolean;
    }
  | {
      readonly type: 'send';
      readonly upstream: UpstreamRecord;
      /** Whether a failure answer of the upstream is relayed to the caller rather than discarded. */
      readonly relaysFailure: boolean;
    };

/** Results of the commands. */
export type ServeEvent =
  | { readonly type: 'reserved' }
  | { readonly type: 'placed'; readonly upstream: UpstreamRecord }
  | { readonly type: 'refused'; readonly refusal: Failure }
  /** The caller disconnected before the command was complete. */
  | { readonly type: 'left' }
  | { readonly type: 'sent'; readonly outcome: SendOutcome };

/** How a request ended. */
export type ServeOutcome =
  | { readonly kind: 'relayed' | 'left' | 'cut'; readonly attempts: number }
  | { readonly kind: 'refused'; readonly refusal: Failure; readonly attempts: number }
  | { readonly kind: 'failed'; readonly refusal: Failure; readonly attempts: number };

/** Properties of the request that the decisions depend on. */
export interface ServeInput {
  readonly repeatability: Repeatability;
  readonly resumable: boolean;
  /** Maximum number of upstreams that it may be sent to. */
  readonly maxAttempts: number;
  /** Whether it uses prepaid units. */
  readonly isPrepaid: boolean;
}

/** Retry delay sent to the caller if no attempt has run the request, in milliseconds. */
const RETRY_AFTER_MS = 300;

/** Maximum number of attempts that send no byte after which another upstream is still tried. */
const MAX_UNSENT = 3;

/**
 * Decides whether a request may run more than once.
 * @param input - properties of the request, or its route
 * @returns whether it may be sent again although it may have run
 */
export function mayRepeat({
  repeatability,
  resumable,
}: Pick<ServeInput, 'repeatability' | 'resumable'>): boolean {
  return repeatability === 'idempotent' || resumable;
}

/** Progress of one request. */
interface Progress {
  /** Number of attempts in which a byte of the request may have reached the upstream. */
  readonly attempts: number;
  /** Number of attempts in which no byte was sent. */
  readonly unsent: number;
  /** Whether some upstream may have run the request. */
  readonly mayHaveRun: boolean;
  /** Whether a part of an answer was relayed to the caller. */
  readonly isBegun: boolean;
  /** Upstreams that were tried. */
  readonly excluded: readonly string[];
}

function nextProgress(progress: Progress, upstream: string, outcome: SendOutcome): Progress {
  const { kind } = outcome;
  const isSent = kind !== 'unsent' && kind !== 'withheld';
  return {
    attempts: progress.attempts + (isSent ? 1 : 0),
    unsent: progress.unsent + (kind === 'unsent' ? 1 : 0),
    mayHaveRun: progress.mayHaveRun || (isSent && kind !== 'not-run'),
    isBegun: progress.isBegun || kind === 'cut',
    excluded: [...progress.excluded, upstream],
  };
}

/** Whether another upstream may be tried after an attempt. */
function mayTryAnother(input: ServeInput, progress: Progress, outcome: SendOutcome): boolean {
  if (progress.unsent > MAX_UNSENT || progress.attempts >= input.maxAttempts) return false;
  if (outcome.kind === 'unsent' || outcome.kind === 'withheld' || outcome.kind === 'not-run') {
    return !progress.mayHaveRun || mayRepeat(input);
  }
  if (outcome.kind === 'cut') return input.resumable && outcome.isStream;
  return (outcome.kind === 'lost' || outcome.kind === 'failed') && mayRepeat(input);
}

/** Returns the outcome of a request for which no upstream's answer was relayed completely. */
function outcomeWithoutAnswer(
  progress: Progress,
  subject: string,
  refusal?: Failure,
): ServeOutcome {
  const { attempts, isBegun, mayHaveRun } = progress;
  if (isBegun) return { kind: 'cut', attempts };
  if (mayHaveRun) {
    return { kind: 'failed', attempts, refusal: failure('upstream-lost', subject, 'unknown') };
  }
  const unavailable = { ...failure('upstream-unavailable', subject), retryAfterMs: RETRY_AFTER_MS };
  return { kind: 'refused', attempts, refusal: refusal ?? unavailable };
}

/**
 * Decides the steps of one request.
 * @param input - properties of the request
 * @returns its outcome, which determines the answer to the caller
 */
export function* serveCall(input: ServeInput): Procedure<ServeCommand, ServeEvent, ServeOutcome> {
  if (input.isPrepaid) {
    const reserved = yield { type: 'reserve' };
    if (reserved.type === 'refused') {
      return { kind: 'refused', refusal: reserved.refusal, attempts: 0 };
    }
    if (reserved.type === 'left') return { kind: 'left', attempts: 0 };
  }
  let progress: Progress = {
    attempts: 0,
    unsent: 0,
    mayHaveRun: false,
    isBegun: false,
    excluded: [],
  };
  for (;;) {
    const { excluded, attempts } = progress;
    const placed = yield { type: 'place', excluded, isRepeat: attempts > 0 };
    if (placed.type === 'refused')
      return outcomeWithoutAnswer(progress, placed.refusal.subject, placed.refusal);
    if (placed.type === 'left') return { kind: 'left', attempts };
    if (placed.type !== 'placed') throw new Error(`unexpected event ${placed.type}`);
    const { upstream } = placed;
    const relaysFailure = !mayRepeat(input) || attempts + 1 >= input.maxAttempts;
    const sent = yield { type: 'send', upstream, relaysFailure };
    if (sent.type !== 'sent') throw new Error(`unexpected event ${sent.type}`);
    const { outcome } = sent;
    progress = nextProgress(progress, upstream.id, outcome);
    if (outcome.kind === 'relayed' || outcome.kind === 'left') {
      return { kind: outcome.kind, attempts: progress.attempts };
    }
    if (outcome.kind === 'timeout') {
      if (progress.isBegun) return { kind: 'cut', attempts: progress.attempts };
      const refusal = failure('timed-out', upstream.id, 'unknown');
      return { kind: 'failed', refusal, attempts: progress.attempts };
    }
    if (outcome.kind === 'stopped') {
      const refusal = failure('outcome-unknown', upstream.id, 'unknown');
      return { kind: 'failed', refusal, attempts: progress.attempts };
    }
    if (!mayTryAnother(input, progress, outcome))
      return outcomeWithoutAnswer(progress, upstream.id);
  }
}
