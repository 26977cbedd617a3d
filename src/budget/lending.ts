/**
 * Lending: loans of a holder to another one whose units run low or which would refuse a request.
 */
import { available, counterOf, lendUnits } from './escrow.js';
import { targetUnits } from './sizing.js';

import type { DemandRate } from './demand.js';
import type { Escrow } from './escrow.js';
import type { BudgetOutlook } from './sizing.js';

/** Request of a borrower. */
export interface LoanRequest {
  /** Incarnation of the borrower. */
  readonly borrower: string;
  /** Units missing for its waiting request; 0 for a background refill. */
  readonly missing: number;
  /** Further units that the borrower asks for, up to its target. */
  readonly wanted: number;
  /** State of the budget as the store last showed it to the borrower. */
  readonly outlook: BudgetOutlook;
  /** The lender's counter for the borrower, as the borrower last received it. */
  readonly known: number;
}

/** Result of a loan request. */
export interface Loan {
  readonly escrow: Escrow;
  /** Total units lent to the borrower. */
  readonly passed: number;
  /** Units that the lender still has available. */
  readonly left: number;
}

/**
 * Fraction of the remaining units added to a loan, so that the borrower need not ask for each
 * request.
 */
const SPARE_FRACTION = 0.25;

/**
 * Computes a loan. For a waiting request: the missing units, even if the lender then runs low, and
 * a fraction of the remaining ones. For a background refill: only units above the lender's own
 * target.
 */
function loanUnits(escrow: Escrow, lenderDemand: DemandRate, request: LoanRequest): number {
  const remaining = Math.max(0, available(escrow) - request.missing);
  const excess = Math.max(0, remaining - targetUnits(lenderDemand, request.outlook));
  const spare = request.missing > 0 ? Math.floor(remaining * SPARE_FRACTION) : 0;
  return request.missing + Math.max(spare, Math.min(request.wanted, excess));
}

/**
 * Lends units. If the lender's counter is above the one that the borrower knows, an earlier answer
 * was lost: the counter is sent again and no more units are lent.
 * @param escrow - escrow of the lender
 * @param lenderDemand - demand of the lender
 * @param request - request of the borrower
 * @returns the lender's escrow and counters after the loan
 */
export function lend(escrow: Escrow, lenderDemand: DemandRate, request: LoanRequest): Loan {
  const before = counterOf(escrow.passed, request.borrower);
  const units = before > request.known ? 0 : loanUnits(escrow, lenderDemand, request);
  const next = units > 0 ? lendUnits(escrow, request.borrower, units) : escrow;
  return { escrow: next, passed: counterOf(next.passed, request.borrower), left: available(next) };
}
