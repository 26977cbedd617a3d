/**
 * Draws: one conditional update of the shard reports a holder's counters and grants it more units.
 */
import { totalOf } from './escrow.js';
import { grant, rowOf, spentOf, unallocated } from './ledger.js';
import { entryOf } from './settlement.js';
import { targetUnits } from './sizing.js';
import { applyReport } from './transfer.js';

import type { UpdateDecision } from '../store/index.js';
import type { DemandRate } from './demand.js';
import type { PeerCounter } from './escrow.js';
import type { BudgetRecord, BudgetShard } from './shard.js';
import type { BudgetOutlook } from './sizing.js';
import type { HolderReport } from './transfer.js';

/** Request of a holder to the store for one budget. */
export interface DrawRequest {
  readonly report: HolderReport;
  /** Units drawn so far as the holder knows. */
  readonly granted: number;
  /** Units that the holder can still reserve. */
  readonly available: number;
  /** Units missing for a waiting request; 0 for a background refill. */
  readonly missing: number;
  readonly demand: DemandRate;
}

/** Another holder of a budget, according to the stored rows. */
export interface HolderView {
  readonly holder: string;
  /** Granted units that are neither spent nor returned, according to the settled charges. */
  readonly held: number;
}

/** Result of a draw. */
export interface DrawAnswer {
  /** Whether the budget exists in the shard. */
  readonly known: boolean;
  /** The holder is fenced: it must not use any of its rows. */
  readonly isFenced: boolean;
  /** Total units that the holder has drawn. */
  readonly granted: number;
  /** Units of the budget that are not allocated to a row. */
  readonly left: number;
  readonly outlook: BudgetOutlook;
  /** Loans to this holder on record in the rows, by lender. */
  readonly loans: readonly PeerCounter[];
  readonly others: readonly HolderView[];
  /** Whether the rows include every loan and return that the holder reported. */
  readonly reported: boolean;
}

const UNKNOWN_BUDGET: DrawAnswer = {
  known: false,
  isFenced: false,
  granted: 0,
  left: 0,
  outlook: { unspent: 0, totalRate: 0 },
  loans: [],
  others: [],
  reported: true,
};

function outlookOf(budget: BudgetRecord, request: DrawRequest): BudgetOutlook {
  const others = budget.rows.filter(({ holder }) => holder !== request.report.holder);
  const rate = others.reduce((sum, row) => sum + (row.demand ?? 0), request.demand.rate);
  return { unspent: budget.paid - spentOf(budget), totalRate: rate };
}

function otherHolders(budget: BudgetRecord, holder: string): readonly HolderView[] {
  return budget.rows
    .filter((row) => row.holder !== holder)
    .map((row) => ({ holder: row.holder, held: row.granted - row.spent - row.returned }))
    .filter(({ held }) => held > 0);
}

function loansTo(budget: BudgetRecord, holder: string): readonly PeerCounter[] {
  return budget.rows.flatMap((row) =>
    (row.passed ?? [])
      .filter(({ peer }) => peer === holder)
      .map(({ units }) => ({ peer: row.holder, units })),
  );
}

/** Returned units of all rows; the sum grows with every transfer and every return. */
function returnedOf(shard: BudgetShard, name: string): number {
  const rows = shard.budgets.find((budget) => budget.name === name)?.rows ?? [];
  return rows.reduce((sum, { returned }) => sum + returned, 0);
}

/** Returns whether the rows include every loan and return of a report. */
function rowsCoverReport(budget: BudgetRecord, report: HolderReport): boolean {
  const row = rowOf(budget, report.holder);
  const passed = totalOf(row.passed ?? []);
  const owed = report.returned + totalOf(report.passed);
  const received = row.received ?? 0;
  return (
    received >= totalOf(report.borrowed) && passed >= totalOf(report.passed) && row.returned >= owed
  );
}

/**
 * Records a holder's counters and grants it the units that it needs, as far as unallocated units
 * are left. The holder must have joined the shard: without an active entry it has been fenced. A
 * waiting request is granted fewer units than are missing if no more are left, since peers may lend
 * the others.
 * @param shard - current shard
 * @param request - counters, demand and missing units of the holder
 * @returns the change of the shard and the result for the holder
 */
export function drawUnits(
  shard: BudgetShard,
  request: DrawRequest,
): UpdateDecision<BudgetShard, DrawAnswer> {
  const { report } = request;
  if (entryOf(shard, report.holder)?.state !== 'active') {
    return { kind: 'keep', outcome: { ...UNKNOWN_BUDGET, isFenced: true } };
  }
  const reportedShard = applyReport(shard, report);
  const budget = reportedShard.budgets.find(({ name }) => name === report.budget);
  if (!budget) return { kind: 'keep', outcome: UNKNOWN_BUDGET };
  const outlook = outlookOf(budget, request);
  const wanted = Math.max(
    request.missing,
    targetUnits(request.demand, outlook) - request.available,
  );
  const { granted: drawn } = request;
  const grantRequest = {
    ...report,
    backup: null,
    entered: true,
    granted: drawn,
    needed: 1,
    wanted,
  };
  const change = wanted > 0 ? grant(reportedShard, grantRequest) : undefined;
  const { granted, left } = change?.outcome ?? {
    granted: request.granted,
    left: unallocated(budget),
  };
  const outcome: DrawAnswer = {
    known: true,
    isFenced: false,
    granted,
    left,
    outlook,
    loans: loansTo(budget, report.holder),
    others: otherHolders(budget, report.holder),
    reported: rowsCoverReport(budget, report),
  };
  if (change?.kind === 'write') return { ...change, outcome };
  const isUnchanged = returnedOf(reportedShard, report.budget) === returnedOf(shard, report.budget);
  return isUnchanged ? { kind: 'keep', outcome } : { kind: 'write', value: reportedShard, outcome };
}
