/** Decides whether a request may spend: own units, the store, other holders, an honest refusal. */
import { failure } from '../kernel/index.js';
/** Rounds through the store and the holders before a refusal. */
const MAX_ROUNDS = 4;
const EMPTY_ROUND = { admitted: false, late: false, complete: true, seen: 0, obtained: 0 };
/** Reserves; gives the units that are lacking, 0 once reserved. */
function* reserveUnits({ worstCase }) {
    const event = yield { type: 'reserve', units: worstCase };
    if (event.type === 'short')
        return event.missing;
    if (event.type === 'reserved' && event.low)
        yield { type: 'prefetch' };
    return 0;
}
function* askHolder(req, holder, round) {
    const missing = yield* reserveUnits(req);
    if (missing === 0)
        return { ...round, admitted: true };
    const event = yield { type: 'borrow', holder, missing };
    if (event.type === 'late')
        return { ...round, late: true };
    if (event.type !== 'lent')
        return { ...round, complete: false };
    return { ...round, seen: round.seen + event.left, obtained: round.obtained + event.units };
}
function* askHolders(req, first) {
    const listed = yield { type: 'holders' };
    const holders = listed.type === 'holders' ? listed.holders : [];
    let round = first;
    for (let index = 0; index < holders.length; index += 1) {
        round = yield* askHolder(req, holders[index] ?? '', round);
        if (round.admitted || round.late)
            return round;
    }
    const missing = yield* reserveUnits(req);
    return { ...round, admitted: missing === 0 };
}
function* askAll(req, missing) {
    const drawn = yield { type: 'draw', missing };
    if (drawn.type === 'late')
        return { ...EMPTY_ROUND, late: true };
    const still = yield* reserveUnits(req);
    if (still === 0)
        return { ...EMPTY_ROUND, admitted: true };
    const answered = drawn.type === 'drawn';
    const seen = answered ? drawn.left : 0;
    return yield* askHolders(req, { ...EMPTY_ROUND, complete: answered, seen });
}
function refuse(req, round) {
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
export function* admit(req) {
    let missing = yield* reserveUnits(req);
    if (missing === 0)
        return { type: 'admitted' };
    let round = EMPTY_ROUND;
    for (let count = 0; count < MAX_ROUNDS; count += 1) {
        round = yield* askAll(req, missing);
        if (round.admitted)
            return { type: 'admitted' };
        missing = yield* reserveUnits(req);
        if (missing === 0)
            return { type: 'admitted' };
        const hopeless = round.obtained === 0 && round.seen < missing;
        if (round.late || hopeless)
            return refuse(req, round);
    }
    return refuse(req, { ...round, complete: false });
}
//# sourceMappingURL=admit.js.map