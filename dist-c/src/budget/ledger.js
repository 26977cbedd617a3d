/**
 * Gives the units of a budget that no holder has.
 * @param budget - the budget
 * @returns units that can be granted
 */
export function unallocated(budget) {
    return budget.rows.reduce((left, row) => left - (row.granted - row.returned), budget.paid - budget.retired);
}
/**
 * Gives what a budget has spent, as far as charges are settled.
 * @param budget - the budget
 * @returns units
 */
export function spentOf(budget) {
    return budget.rows.reduce((spent, row) => spent + row.spent, budget.retired);
}
/**
 * Replaces one budget of a shard.
 * @param shard - the shard
 * @param next - the budget in its new form
 * @returns the shard with it
 */
export function replaceBudget(shard, next) {
    const budgets = shard.budgets.map((budget) => (budget.name === next.name ? next : budget));
    return { ...shard, budgets };
}
/**
 * Adds the entry of a holder, unless there is one.
 * @param shard - the shard
 * @param holder - incarnation
 * @param backup - who keeps its copies, as far as known
 * @returns the shard with the entry
 */
export function withHolder(shard, holder, backup) {
    const found = shard.holders.find((entry) => entry.holder === holder);
    if (found)
        return shard;
    const entry = { holder, backup, settled: 0 };
    return { ...shard, holders: [...shard.holders, entry] };
}
/**
 * Replaces the row of one holder.
 * @param budget - the budget
 * @param next - the row in its new form
 * @returns the budget with it
 */
export function withRow(budget, next) {
    const others = budget.rows.filter((row) => row.holder !== next.holder);
    return { ...budget, rows: [...others, next] };
}
/**
 * Gives the units that a holder has drawn, without those transferred to its row.
 * @param row - the row
 * @returns units
 */
export function drawnOf(row) {
    return row.granted - (row.received ?? 0);
}
/**
 * Gives the row of a holder.
 * @param budget - the budget
 * @param holder - incarnation
 * @returns its row; an empty one if it has none
 */
export function rowOf(budget, holder) {
    const found = budget.rows.find((row) => row.holder === holder);
    return found ?? { holder, granted: 0, spent: 0, returned: 0 };
}
/**
 * Grants units of a budget to a holder.
 * @param shard - shard in force
 * @param ask - the request
 * @returns the change of the shard and what the holder then has
 */
export function grant(shard, ask) {
    const budget = shard.budgets.find(({ name }) => name === ask.budget);
    if (!budget)
        return { kind: 'keep', outcome: { granted: 0, left: 0, known: false } };
    const row = rowOf(budget, ask.holder);
    const left = unallocated(budget);
    const short = left < ask.needed;
    const drawn = drawnOf(row);
    if (drawn > ask.granted || short) {
        return { kind: 'keep', outcome: { granted: drawn, left, known: true } };
    }
    const units = Math.min(left, ask.wanted);
    const next = withRow(budget, { ...row, granted: row.granted + units });
    const value = withHolder(replaceBudget(shard, next), ask.holder, ask.backup);
    const outcome = { granted: drawn + units, left: left - units, known: true };
    return { kind: 'write', value, outcome };
}
/**
 * Adds a payment to a budget, once for each operation id.
 * @param shard - shard in force
 * @param ask - the payment
 * @returns the change of the shard and the units paid in all
 */
export function topUp(shard, ask) {
    const found = shard.budgets.find(({ name }) => name === ask.budget);
    const base = found ?? {
        name: ask.budget,
        workspace: ask.workspace,
        paid: 0,
        topUps: [],
        retired: 0,
        rows: [],
    };
    if (base.topUps.some(({ operation }) => operation === ask.operation)) {
        return { kind: 'keep', outcome: { paid: base.paid, repeated: true } };
    }
    const entry = { operation: ask.operation, units: ask.units, at: ask.at };
    const next = { ...base, paid: base.paid + ask.units, topUps: [...base.topUps, entry] };
    const value = found
        ? replaceBudget(shard, next)
        : { ...shard, budgets: [...shard.budgets, next] };
    return { kind: 'write', value, outcome: { paid: next.paid, repeated: false } };
}
function settleBudget(budget, holder, lines) {
    const units = lines
        .filter((line) => line.budget === budget.name)
        .reduce((sum, line) => sum + line.units, 0);
    if (units === 0)
        return budget;
    const row = rowOf(budget, holder);
    return withRow(budget, { ...row, spent: row.spent + units });
}
/**
 * Settles the lines of one holder: moves its mark and adds to what its rows spent.
 * Lines at or below the mark are ignored, so any copy may be delivered again.
 * @param shard - shard in force
 * @param holder - incarnation that recorded the lines
 * @param lines - lines in the order of their sequence
 * @returns the change of the shard and the mark that is then in force
 */
export function settle(shard, holder, lines) {
    const entry = shard.holders.find((candidate) => candidate.holder === holder);
    const mark = entry?.settled ?? 0;
    const fresh = lines.filter(({ sequence }) => sequence > mark);
    const last = fresh.at(-1);
    if (!entry || !last)
        return { kind: 'keep', outcome: mark };
    const budgets = shard.budgets.map((budget) => settleBudget(budget, holder, fresh));
    const holders = shard.holders.map((candidate) => candidate === entry ? { ...entry, settled: last.sequence } : candidate);
    return { kind: 'write', value: { ...shard, budgets, holders }, outcome: last.sequence };
}
//# sourceMappingURL=ledger.js.map