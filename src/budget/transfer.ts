/** Transfers: record loans between holders in the stored rows, each unit once. */
import { counterOf, raiseCounter, totalOf } from './escrow.js';
import { replaceBudget, rowOf, withRow } from './ledger.js';
import { entryOf } from './settlement.js';

import type { PeerCounter } from './escrow.js';
import type { BudgetRecord, BudgetShard, HolderRow } from './shard.js';

/** A loan as its lender or its borrower reports it. */
export interface Transfer {
  readonly from: string;
  readonly to: string;
  /** Total units lent. */
  readonly units: number;
}

/** Counters of a holder for one budget; every counter is a running total. */
export interface HolderReport {
  readonly holder: string;
  readonly budget: string;
  readonly borrowed: readonly PeerCounter[];
  readonly passed: readonly PeerCounter[];
  /** Units that the holder returned to the budget. */
  readonly returned: number;
  /** Smoothed use, in units per second. */
  readonly demand: number;
}

/** Units that a row can give up: granted and neither spent nor returned. */
function unusedOf(row: HolderRow): number {
  return Math.max(0, row.granted - row.spent - row.returned);
}

/**
 * Moves lent units from the lender's row to the borrower's row.
 * The lender's row records the units moved to each borrower, so that a repeated report moves
 * nothing. If the lender has no row, it has been closed with its loans on record, or its row is not
 * stored yet: nothing moves. Units that the lender's row cannot cover yet move with a later report.
 * @param budget - the budget
 * @param transfer - lender, borrower and total units lent
 * @returns the budget; its granted units minus its returned units stay the same
 */
export function applyTransfer(budget: BudgetRecord, transfer: Transfer): BudgetRecord {
  const { from, to, units } = transfer;
  const lender = budget.rows.find(({ holder }) => holder === from);
  if (!lender || from === to) return budget;
  const passed = lender.passed ?? [];
  const known = counterOf(passed, to);
  const moved = Math.min(units - known, unusedOf(lender));
  if (moved <= 0) return budget;
  const borrower = rowOf(budget, to);
  const debited = withRow(budget, {
    ...lender,
    returned: lender.returned + moved,
    passed: raiseCounter(passed, { peer: to, units: known + moved }),
  });
  return withRow(debited, {
    ...borrower,
    granted: borrower.granted + moved,
    received: (borrower.received ?? 0) + moved,
  });
}

function applyReturned(budget: BudgetRecord, report: HolderReport): BudgetRecord {
  const row = budget.rows.find(({ holder }) => holder === report.holder);
  if (!row) return budget;
  const wanted = report.returned + totalOf(row.passed ?? []);
  const returned = row.returned + Math.min(Math.max(0, wanted - row.returned), unusedOf(row));
  return withRow(budget, { ...row, returned, demand: report.demand });
}

function transfersOf({ holder, borrowed, passed }: HolderReport): readonly Transfer[] {
  return [
    ...borrowed.map(({ peer, units }) => ({ from: peer, to: holder, units })),
    ...passed.map(({ peer, units }) => ({ from: holder, to: peer, units })),
  ];
}

/**
 * Records in the shard what a holder has lent, borrowed and returned.
 * @param shard - current shard
 * @param report - the holder's counters
 * @returns the shard; units move only once, however often they are reported
 */
export function applyReport(shard: BudgetShard, report: HolderReport): BudgetShard {
  const found = shard.budgets.find(({ name }) => name === report.budget);
  if (!found) return shard;
  // A borrower without an entry has been closed or has not joined. An entry created here would let
  // a closed borrower settle its lines a second time.
  const moved = transfersOf(report)
    .filter(({ to }) => entryOf(shard, to) !== undefined)
    .reduce(applyTransfer, found);
  return replaceBudget(shard, applyReturned(moved, report));
}
