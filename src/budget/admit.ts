/** Decides whether a request may spend: own units, the store, other holders, an honest refusal. */
import { failure } from '../kernel/index.js';

import type { Failure, Procedure } from '../kernel/index.js';

/** A request that waits for units. */
export interface AdmitRequest {
  readonly budget: string;
  /** Most units that the request can cost. */
  readonly worstCase: number;
}

/** What the procedure asks to be done. */
export type AdmitCommand =
  | { readonly type: 'reserve'; readonly units: number }
  /** Begins a refill in the background; nothing waits for it. */
  | { readonly type: 'prefetch' }
  /** Asks for the units that the holder lacks in the background. */
  | { readonly type: 'measure' }
  | { readonly type: 'draw'; readonly missing: number }
  /** Lists the holders that may have units, the likeliest first. */
  | { readonly type: 'holders' }
  | {
      readonly type: 'borrow';
      readonly holder: string;
      /** Units that the waiting request lacks; 0 in the background. */
      readonly missing: number;
      /** Units that the holder would like to keep ready besides. */
      readonly wanted: number;
    };

/** What came of a command. */
export type AdmitEvent =
  | { readonly type: 'reserved'; readonly low: boolean }
  | { readonly type: 'short'; readonly missing: number }
  /** Units up to the target of the holder, once it runs low; 0 before. */
  | { readonly type: 'lacking'; readonly units: number }
  | { readonly type: 'started' }
  /** The store answered; "left" is what it can still grant. */
  | { readonly type: 'drawn'; readonly left: number }
  | { readonly type: 'holders'; readonly holders: readonly string[] }
  /** A holder answered: what it lent now, and what it still has. */
  | { readonly type: 'lent'; readonly units: number; readonly left: number }
  | { readonly type: 'unreachable' }
  /** The caller's deadline has passed: nothing more is asked. */
  | { readonly type: 'late' };

/** Whether the worst case is reserved. */
export type AdmitOutcome =
  { readonly type: 'admitted' } | { readonly type: 'refused'; readonly fail: Failure };

type AdmitProcedure<Outcome> = Procedure<AdmitCommand, AdmitEvent, Outcome>;

/** Rounds through the store and the holders before a refusal. */
const MAX_ROUNDS = 4;

/** Holders that one refill asks: those that hold most. */
const MAX_REFILL_HOLDERS = 3;

/** What one round through the store and the holders found. */
interface Round {
  readonly admitted: boolean;
  /** Whether the deadline passed. */
  readonly late: boolean;
  /** Whether the store and every holder answered. */
  readonly complete: boolean;
  /** Units that were seen in the store or at a holder and not obtained. */
  readonly seen: number;
  /** Units that were obtained. */
  readonly obtained: number;
}

const EMPTY_ROUND: Round = { admitted: false, late: false, complete: true, seen: 0, obtained: 0 };

/** Reserves; gives the units that are lacking, 0 once reserved. */
function* tryReserve({ worstCase }: AdmitRequest): AdmitProcedure<number> {
  const event = yield { type: 'reserve', units: worstCase };
  if (event.type === 'short') return event.missing;
  if (event.type === 'reserved' && event.low) yield { type: 'prefetch' };
  return 0;
}

function* borrowFromHolder(req: AdmitRequest, holder: string, round: Round): AdmitProcedure<Round> {
  const missing = yield* tryReserve(req);
  if (missing === 0) return { ...round, admitted: true };
  const event = yield { type: 'borrow', holder, missing, wanted: 0 };
  if (event.type === 'late') return { ...round, late: true };
  if (event.type !== 'lent') return { ...round, complete: false };
  return { ...round, seen: round.seen + event.left, obtained: round.obtained + event.units };
}

function* borrowFromHolders(req: AdmitRequest, first: Round): AdmitProcedure<Round> {
  const listed = yield { type: 'holders' };
  const holders = listed.type === 'holders' ? listed.holders : [];
  let round = first;
  for (let index = 0; index < holders.length; index += 1) {
    round = yield* borrowFromHolder(req, holders[index] ?? '', round);
    if (round.admitted || round.late) return round;
  }
  const missing = yield* tryReserve(req);
  return { ...round, admitted: missing === 0 };
}

function* tryStoreAndHolders(req: AdmitRequest, missing: number): AdmitProcedure<Round> {
  const drawn = yield { type: 'draw', missing };
  if (drawn.type === 'late') return { ...EMPTY_ROUND, late: true };
  const stillMissing = yield* tryReserve(req);
  if (stillMissing === 0) return { ...EMPTY_ROUND, admitted: true };
  const answered = drawn.type === 'drawn';
  const seen = answered ? drawn.left : 0;
  return yield* borrowFromHolders(req, { ...EMPTY_ROUND, complete: answered, seen });
}

function refuse(req: AdmitRequest, round: Round): AdmitOutcome {
  const code = round.complete && !round.late ? 'budget-exhausted' : 'budget-unreachable';
  return { type: 'refused', fail: failure(code, req.budget) };
}

/**
 * Reserves the worst case of a request.
 * Units at hand are reserved without a wait. Otherwise the store is asked, then every holder, again
 * as long as a round obtains or sees units. The refusal says "exhausted" only when the store and
 * every holder answered and together have too little; otherwise units may be left.
 * @param req - the request
 * @returns the procedure, which ends with the outcome
 */
export function* admit(req: AdmitRequest): AdmitProcedure<AdmitOutcome> {
  let missing = yield* tryReserve(req);
  if (missing === 0) return { type: 'admitted' };
  let round = EMPTY_ROUND;
  for (let count = 0; count < MAX_ROUNDS; count += 1) {
    round = yield* tryStoreAndHolders(req, missing);
    if (round.admitted) return { type: 'admitted' };
    missing = yield* tryReserve(req);
    if (missing === 0) return { type: 'admitted' };
    const isFutile = round.obtained === 0 && round.seen < missing;
    if (round.late || isFutile) return refuse(req, round);
  }
  return refuse(req, { ...round, complete: false });
}

function* measure(): AdmitProcedure<number> {
  const event = yield { type: 'measure' };
  return event.type === 'lacking' ? event.units : 0;
}

/**
 * Draws before requests have to wait. Where the store has too little left, holders that have more
 * than their part of the budget are asked for what exceeds it.
 * @returns the procedure; it ends without an outcome
 */
export function* refill(): AdmitProcedure<void> {
  yield { type: 'draw', missing: 0 };
  let wanted = yield* measure();
  if (wanted === 0) return;
  const listed = yield { type: 'holders' };
  const holders = listed.type === 'holders' ? listed.holders.slice(0, MAX_REFILL_HOLDERS) : [];
  for (let index = 0; index < holders.length && wanted > 0; index += 1) {
    yield { type: 'borrow', holder: holders[index] ?? '', missing: 0, wanted };
    wanted = yield* measure();
  }
}
