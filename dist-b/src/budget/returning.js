function raise(row, returned) {
    const unspent = row.granted - row.spent;
    return { ...row, returned: Math.max(row.returned, Math.min(returned, unspent)) };
}
/**
 * Raises the returned units of rows that still exist.
 * @param shard - shard in force
 * @param returns - counters of the holders
 * @returns the change of the shard and the units that became free
 */
export function acceptReturns(shard, returns) {
    let freed = 0;
    const budgets = shard.budgets.map((budget) => {
        const rows = budget.rows.map((row) => {
            const asked = returns.find(({ holder, budget: name }) => holder === row.holder && name === budget.name);
            if (!asked)
                return row;
            const next = raise(row, asked.returned);
            freed += next.returned - row.returned;
            return next;
        });
        return { ...budget, rows };
    });
    if (freed === 0)
        return { kind: 'keep', outcome: 0 };
    return { kind: 'write', value: { ...shard, budgets }, outcome: freed };
}
//# sourceMappingURL=returning.js.map