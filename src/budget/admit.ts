/**
 * Admission of a request to its budget: reserves available units, draws from the store, borrows
 * from other holders, or refuses.
 */
import { failure } from '../kernel/index.js';

import type { Failure, Procedure } from '../kernel/index.js';

/** A request that waits for units. */
export interface AdmitRequest {
  readonly budget: string;
  /** Worst-case cost of the request, in units. */
  readonly worstCase: number;
}

/** Commands of the procedures. */
export type AdmitCommand =
  | { readonly type: 'reserve'; readonly units: number }
  /** Starts a background refill without waiting for it. */
  | { readonly type: 'prefetch' }
  /** Asks how many units the holder is below its target. */
  | { readonly type: 'measure' }
  | { readonly type: 'draw'; readonly missing: number }
  /** Lists the holders that may have units, the most promising first. */
  | { readonly type: 'holders' }
  | {
      readonly type: 'borrow';
      readonly holder: string;
      /** Units missing for the waiting request; 0 for a background refill. */
      readonly missing: number;
      /** Further units that the borrower asks for, up to its target. */
      readonly wanted: number;
    };

/** Results of the commands. */
export type AdmitEvent =
  | { readonly type: 'reserved'; readonly low: boolean }
  | { readonly type: 'short'; readonly missing: number }
  /** Units up to the target of the holder once its units run low; 0 otherwise. */
  | { readonly type: 'lacking'; readonly units: number }
  | { readonly type: 'started' }
  /** The store answered; "left" are the units that it can still grant. */
  | { readonly type: 'drawn'; readonly left: number }
  | { readonly type: 'holders'; readonly holders: readonly string[] }
  /** A holder answered: units lent by this answer, and units still available to it. */
  | { readonly type: 'lent'; readonly units: number; readonly left: number }
  | { readonly type: 'unreachable' }
  /** The caller's deadline has passed; no further requests are sent. */
  | { readonly type: 'late' };

/** Result of an admission; once admitted, the worst-case cost is reserved. */
export type AdmitOutcome =
  { readonly type: 'admitted' } | { readonly type: 'refused'; readonly fail: Failure };

type AdmitProcedure<Outcome> = Procedure<AdmitCommand, AdmitEvent, Outcome>;

/** Maximum number of rounds, each through the store and all holders, before a refusal. */
const MAX_ROUNDS = 4;

/** Maximum number of holders that one refill asks; those with the most units are asked first. */
const MAX_REFILL_HOLDERS = 3;

/** Result of one round through the store and the holders. */
interface Round {
  readonly admitted: boolean;
  /** Whether the deadline passed. */
  readonly late: boolean;
  /** Whether the store and every holder answered. */
  readonly complete: boolean;
  /** Units still available in the store and at the holders, as their responses report. */
  readonly seen: number;
  /** Units that holders lent in this round. */
  readonly obtained: number;
}

const EMPTY_ROUND: Round = { admitted: false, late: false, complete: true, seen: 0, obtained: 0 };

/** Tries to reserve the worst-case cost; returns the missing units, 0 once reserved. */
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
 * Reserves the worst-case cost of a request.
 * Available units are reserved at once. Otherwise units are drawn from the store, then borrowed
 * from each holder in turn. Further rounds follow, up to a limit, while a round obtains units or
 * the store and the holders report enough available units. The refusal is "budget-exhausted" only
 * if the store and every holder answered and together have too few units; otherwise it is
 * "budget-unreachable", since units may still be available.
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
 * Refills the holder in the background, before requests have to wait. If the draw from the store
 * does not suffice, other holders are asked to lend units above their own targets.
 * @returns the procedure, which has no outcome
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
