import test from 'ava';
import { acceptReturns, parseShard, unallocated } from '../index.js';
function shardOf(granted, spent, returned) {
    const rows = [{ holder: 'a', granted, spent, returned }];
    const budget = { name: 'main', workspace: 'shop', paid: 100, topUps: [], retired: 0, rows };
    return parseShard({ budgets: [budget], holders: [] });
}
const CASES = [
    { name: 'an unspent rest goes back', row: [60, 20, 0], asked: 40, freed: 40, left: 80 },
    { name: 'a repeat changes nothing', row: [60, 20, 40], asked: 40, freed: 0, left: 80 },
    {
        name: 'a higher counter adds the difference',
        row: [60, 20, 10],
        asked: 30,
        freed: 20,
        left: 70,
    },
    { name: 'a lower counter changes nothing', row: [60, 20, 30], asked: 10, freed: 0, left: 70 },
    { name: 'spent units never go back', row: [60, 50, 0], asked: 40, freed: 10, left: 50 },
];
CASES.forEach(({ name, row: [granted, spent, returned], asked, freed, left }) => {
    test(`returned units: ${name}`, (t) => {
        const shard = shardOf(granted, spent, returned);
        const change = acceptReturns(shard, [{ holder: 'a', budget: 'main', returned: asked }]);
        t.is(change.outcome, freed);
        const after = change.kind === 'write' ? change.value : shard;
        const [budget] = after.budgets;
        t.is(budget ? unallocated(budget) : -1, left);
    });
});
test('returned units: an unknown holder changes nothing', (t) => {
    const change = acceptReturns(shardOf(60, 0, 0), [{ holder: 'b', budget: 'main', returned: 9 }]);
    t.is(change.kind, 'keep');
});
//# sourceMappingURL=returning.test.js.map