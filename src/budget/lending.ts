/** Lending: what a holder gives to another that runs low or is about to refuse a request. */
import { available, counterOf, passUnits } from './escrow.js';
import { targetUnits } from './sizing.js';

import type { DemandRate } from './demand.js';
import type { Escrow } from './escrow.js';
import type { BudgetOutlook } from './sizing.js';

/** What a borrower asks for. */
export interface LoanRequest {
  /** Incarnation of the borrower. */
  readonly borrower: string;
  /** Units that its waiting request lacks; 0 in the background. */
  readonly missing: number;
  /** Units that it would like to keep ready besides. */
  readonly wanted: number;
  /** What the store last showed it of the budget. */
  readonly outlook: BudgetOutlook;
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

/** Part of what is left that goes with a loan, so that the borrower need not ask each time. */
const SPARE_PART = 0.25;

/**
 * Says how much to lend: what a waiting request lacks, from whatever there is, and with it a part
 * of the rest; in the background only what exceeds the lender's own part of the budget.
 */
function loanUnits(escrow: Escrow, own: DemandRate, ask: LoanRequest): number {
  const rest = Math.max(0, available(escrow) - ask.missing);
  const excess = Math.max(0, rest - targetUnits(own, ask.outlook));
  const spare = ask.missing > 0 ? Math.floor(rest * SPARE_PART) : 0;
  return ask.missing + Math.max(spare, Math.min(ask.wanted, excess));
}

/**
 * Lends units. A counter that the borrower does not know is an answer that was lost: it is told
 * again, and nothing more is lent.
 * @param escrow - escrow of the lender
 * @param own - demand of the lender
 * @param ask - what the borrower lacks
 * @returns the escrow and the lender's counters after the loan
 */
export function lend(escrow: Escrow, own: DemandRate, ask: LoanRequest): Loan {
  const before = counterOf(escrow.passed, ask.borrower);
  const units = before > ask.known ? 0 : loanUnits(escrow, own, ask);
  const next = units > 0 ? passUnits(escrow, ask.borrower, units) : escrow;
  return { escrow: next, passed: counterOf(next.passed, ask.borrower), left: available(next) };
}
