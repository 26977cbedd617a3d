/** Draws: one conditional update reports a holder's counters and grants it more. */
import { totalOf } from './escrow.js';
import { grant, rowOf, spentOf, unallocated } from './ledger.js';
import { targetUnits } from './sizing.js';
import { applyReport } from './transfer.js';
const UNKNOWN = {
    known: false,
    granted: 0,
    left: 0,
    target: 0,
    loans: [],
    others: [],
    reported: true,
};
function outlookOf(budget, ask) {
    const others = budget.rows.filter(({ holder }) => holder !== ask.report.holder);
    const rate = others.reduce((sum, row) => sum + (row.demand ?? 0), ask.demand.rate);
    return { paid: budget.paid, unspent: budget.paid - spentOf(budget), totalRate: rate };
}
function othersOf(budget, holder) {
    return budget.rows
        .filter((row) => row.holder !== holder)
        .map((row) => ({ holder: row.holder, held: row.granted - row.spent - row.returned }))
        .filter(({ held }) => held > 0);
}
function loansTo(budget, holder) {
    return budget.rows.flatMap((row) => (row.passed ?? [])
        .filter(({ peer }) => peer === holder)
        .map(({ units }) => ({ peer: row.holder, units })));
}
/** Units given up by all rows: grows with every transfer and every return. */
function returnedOf(shard, name) {
    const rows = shard.budgets.find((budget) => budget.name === name)?.rows ?? [];
    return rows.reduce((sum, { returned }) => sum + returned, 0);
}
/** Whether the rows hold everything that a holder reports. */
function isReported(budget, report) {
    const row = rowOf(budget, report.holder);
    const passed = totalOf(row.passed ?? []);
    const owed = report.returned + totalOf(report.passed);
    const received = row.received ?? 0;
    return (received >= totalOf(report.borrowed) && passed >= totalOf(report.passed) && row.returned >= owed);
}
/**
 * Reports a holder's counters and grants it what it needs, as far as units are left.
 * A waiting request gets whatever is left, also less than it lacks: peers may have the rest.
 * @param shard - shard in force
 * @param ask - counters, demand and need of the holder
 * @returns the change of the shard and what the holder learns
 */
export function drawUnits(shard, ask) {
    const { report } = ask;
    const reported = applyReport(shard, report);
    const budget = reported.budgets.find(({ name }) => name === report.budget);
    if (!budget)
        return { kind: 'keep', outcome: UNKNOWN };
    const target = targetUnits(ask.demand, outlookOf(budget, ask));
    const wanted = Math.max(ask.missing, target - ask.available);
    const asked = { ...report, granted: ask.granted, needed: 1, wanted };
    const change = wanted > 0 ? grant(reported, asked) : undefined;
    const { granted, left } = change?.outcome ?? {
        granted: ask.granted,
        left: unallocated(budget),
    };
    const outcome = {
        known: true,
        granted,
        left,
        target,
        loans: loansTo(budget, report.holder),
        others: othersOf(budget, report.holder),
        reported: isReported(budget, report),
    };
    if (change?.kind === 'write')
        return { ...change, outcome };
    const kept = returnedOf(reported, report.budget) === returnedOf(shard, report.budget);
    return kept ? { kind: 'keep', outcome } : { kind: 'write', value: reported, outcome };
}
//# sourceMappingURL=draw.js.map