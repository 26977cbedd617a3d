/** Lending: what a holder gives to another that is about to refuse a request. */
import { available, counterOf, passUnits } from './escrow.js';
/** Part of what a lender has over and above the need that goes with a loan. */
const SPARE_PART = 0.25;
/**
 * Lends units: what the borrower lacks and a part of the rest, so that it need not ask for each
 * request. A counter that the borrower does not know is an answer that was lost: it is told again,
 * and nothing more is lent.
 * @param escrow - escrow of the lender
 * @param ask - what the borrower lacks
 * @returns the escrow and the lender's counters after the loan
 */
export function lend(escrow, ask) {
    const before = counterOf(escrow.passed, ask.borrower);
    const spare = Math.max(0, available(escrow) - ask.missing);
    const units = ask.missing + Math.floor(spare * SPARE_PART);
    const next = before > ask.known ? escrow : passUnits(escrow, ask.borrower, units);
    return { escrow: next, passed: counterOf(next.passed, ask.borrower), left: available(next) };
}
//# sourceMappingURL=lending.js.map