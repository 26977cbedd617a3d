/** Lending: what a holder gives to another that runs low or is about to refuse a request. */
import { available, counterOf, lendUnits } from './escrow.js';
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
const SPARE_FRACTION = 0.25;

/**
 * Says how much to lend: what a waiting request lacks, from whatever there is, and with it a part
 * of the rest; in the background only what exceeds the lender's own part of the budget.
 */
function loanUnits(escrow: Escrow, lenderDemand: DemandRate, request: LoanRequest): number {
  const remaining = Math.max(0, available(escrow) - request.missing);
  const excess = Math.max(0, remaining - targetUnits(lenderDemand, request.outlook));
  const spare = request.missing > 0 ? Math.floor(remaining * SPARE_FRACTION) : 0;
  return request.missing + Math.max(spare, Math.min(request.wanted, excess));
}

/**
 * Lends units. A counter that the borrower does not know is an answer that was lost: it is told
 * again, and nothing more is lent.
 * @param escrow - escrow of the lender
 * @param lenderDemand - demand of the lender
 * @param request - what the borrower lacks
 * @returns the escrow and the lender's counters after the loan
 */
export function lend(escrow: Escrow, lenderDemand: DemandRate, request: LoanRequest): Loan {
  const before = counterOf(escrow.passed, request.borrower);
  const units = before > request.known ? 0 : loanUnits(escrow, lenderDemand, request);
  const next = units > 0 ? lendUnits(escrow, request.borrower, units) : escrow;
  return { escrow: next, passed: counterOf(next.passed, request.borrower), left: available(next) };
}
