/** Transfers: how loans between holders reach the store, each unit once. */
import { counterOf, raiseCounter, totalOf } from './escrow.js';
import { replaceBudget, rowOf, withRow } from './ledger.js';
import { entryOf } from './settlement.js';

import type { PeerCounter } from './escrow.js';
import type { BudgetRecord, BudgetShard, HolderRow } from './shard.js';

/** A loan as its lender or its borrower knows it. */
export interface Transfer {
  readonly from: string;
  readonly to: string;
  /** Units lent in all. */
  readonly units: number;
}

/** What a holder tells the store of one budget; every counter is absolute. */
export interface HolderReport {
  readonly holder: string;
  readonly budget: string;
  readonly borrowed: readonly PeerCounter[];
  readonly passed: readonly PeerCounter[];
  /** Units that the holder gave up by itself. */
  readonly returned: number;
  /** Units a second. */
  readonly demand: number;
}

/** Units that a row can give up: what it was granted and has neither spent nor given up. */
function unusedOf(row: HolderRow): number {
  return Math.max(0, row.granted - row.spent - row.returned);
}

/**
 * Moves lent units from the lender's row to the borrower's.
 * The lender's row remembers what was moved to whom, so that a repeat moves nothing. A lender
 * without a row has been closed, with its loans recorded, or is not stored yet: nothing moves.
 * What the lender's row does not cover yet follows with a later report.
 * @param budget - the budget
 * @param transfer - lender, borrower and units lent in all
 * @returns the budget, its granted less returned units unchanged
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
 * Brings what a holder lent, borrowed and gave up into the shard.
 * @param shard - shard in force
 * @param report - the holder's counters
 * @returns the shard; the same units move once, however often they are reported
 */
export function applyReport(shard: BudgetShard, report: HolderReport): BudgetShard {
  const found = shard.budgets.find(({ name }) => name === report.budget);
  if (!found) return shard;
  // A borrower without an entry has been closed or has not joined: an entry made here would let
  // one that was closed settle its lines again.
  const moved = transfersOf(report)
    .filter(({ to }) => entryOf(shard, to) !== undefined)
    .reduce(applyTransfer, found);
  return replaceBudget(shard, applyReturned(moved, report));
}
