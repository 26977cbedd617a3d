import test from 'ava';
import { grant, settle, topUp, unallocated } from '../ledger.js';
import { parseShard } from '../shard.js';
const EMPTY = parseShard(null);
const PAYMENT = { budget: 'b', workspace: 'w', operation: 'op-1', units: 1_000, at: 1 };
function paid() {
    const change = topUp(EMPTY, PAYMENT);
    return change.kind === 'write' ? change.value : EMPTY;
}
function ask(fields) {
    return {
        holder: 'h~1',
        backup: null,
        budget: 'b',
        granted: 0,
        needed: 100,
        wanted: 400,
        ...fields,
    };
}
function line(sequence, units) {
    return {
        key: `k${sequence}`,
        workspace: 'w',
        budget: 'b',
        units,
        holder: 'h~1',
        sequence,
        at: 1,
    };
}
const GRANTS = [
    { title: 'grants what is wanted', ask: ask({}), granted: 400, left: 600 },
    { title: 'grants no more than is left', ask: ask({ wanted: 5_000 }), granted: 1_000, left: 0 },
    { title: 'grants nothing below the need', ask: ask({ needed: 1_001 }), granted: 0, left: 1_000 },
    { title: 'knows no other budget', ask: ask({ budget: 'x' }), granted: 0, left: 0 },
];
GRANTS.forEach((row) => {
    test(`grant: ${row.title}`, (t) => {
        const { outcome } = grant(paid(), row.ask);
        t.is(outcome.granted, row.granted);
        t.is(outcome.left, row.left);
    });
});
test('grant: a repeat after a lost answer adopts the earlier grant', (t) => {
    const first = grant(paid(), ask({}));
    t.is(first.kind, 'write');
    const again = grant(first.kind === 'write' ? first.value : EMPTY, ask({}));
    t.deepEqual(again, { kind: 'keep', outcome: { granted: 400, left: 600, known: true } });
});
test('topUp: a known operation id adds nothing', (t) => {
    t.deepEqual(topUp(paid(), PAYMENT), { kind: 'keep', outcome: { paid: 1_000, repeated: true } });
});
test('settle: a delivered line does not count twice', (t) => {
    const granted = grant(paid(), ask({}));
    const shard = granted.kind === 'write' ? granted.value : EMPTY;
    const once = settle(shard, 'h~1', [line(1, 30), line(2, 20)]);
    t.is(once.outcome, 2);
    const value = once.kind === 'write' ? once.value : EMPTY;
    t.is(value.budgets[0]?.rows[0]?.spent, 50);
    t.deepEqual(settle(value, 'h~1', [line(1, 30), line(2, 20)]), { kind: 'keep', outcome: 2 });
    t.is(unallocated(value.budgets[0] ?? shard.budgets[0]), 600);
});
//# sourceMappingURL=ledger.test.js.map