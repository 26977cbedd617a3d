/** Lending: what a holder gives to another that is about to refuse a request. */
import { available, counterOf, passUnits } from './escrow.js';

import type { Escrow } from './escrow.js';

/** What a borrower asks for. */
export interface LoanRequest {
  /** Incarnation of the borrower. */
  readonly borrower: string;
  /** Units that its waiting request lacks. */
  readonly missing: number;
  /** Lender's counter for the borrower, as the borrower knows it. */
  readonly known: number;
}

/** What a lender decided. */
export interface Loan {
  readonly escrow: Escrow;
  /** Units lent to the borrower in all. */
  readonly passed: number;
  /** Units that the lender still has available. */
  readonly left: number;
}

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
export function lend(escrow: Escrow, ask: LoanRequest): Loan {
  const before = counterOf(escrow.passed, ask.borrower);
  const spare = Math.max(0, available(escrow) - ask.missing);
  const units = ask.missing + Math.floor(spare * SPARE_PART);
  const next = before > ask.known ? escrow : passUnits(escrow, ask.borrower, units);
  return { escrow: next, passed: counterOf(next.passed, ask.borrower), left: available(next) };
}
