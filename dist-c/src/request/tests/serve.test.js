import test from 'ava';
import { failure } from '../../kernel/index.js';
import { serve } from '../serve.js';
const REQUEST = { worstCase: 100, idempotent: true, retries: 1 };
const DONE = { type: 'done' };
const CHOSEN = { type: 'chosen', upstream: 'u' };
const NOT_RUN = { type: 'failed', fail: failure('upstream-unavailable', 'u') };
const MAY_RUN = { type: 'failed', fail: failure('outcome-unknown', 'u', 'unknown') };
function run(req, events) {
    const procedure = serve(req);
    const commands = [];
    let step = procedure.next();
    events.forEach((event) => {
        if (step.done)
            return;
        commands.push(step.value.type);
        step = procedure.next(event);
    });
    return { commands, outcome: step.done ? step.value : undefined };
}
const ROWS = [
    {
        title: 'an answered request is charged at what it used',
        req: REQUEST,
        events: [DONE, CHOSEN, DONE, { type: 'answered', units: 40 }, DONE],
        commands: ['reserve', 'choose', 'dispatch', 'relay', 'record'],
        outcome: { type: 'whole', units: 40 },
    },
    {
        title: 'a charge never exceeds the reservation',
        req: REQUEST,
        events: [DONE, CHOSEN, DONE, { type: 'answered', units: 140 }, DONE],
        commands: ['reserve', 'choose', 'dispatch', 'relay', 'record'],
        outcome: { type: 'whole', units: 100 },
    },
    {
        title: 'a refused reservation dispatches nothing',
        req: REQUEST,
        events: [{ type: 'failed', fail: failure('budget-exhausted', 'b') }],
        commands: ['reserve'],
        outcome: { type: 'refused', fail: failure('budget-exhausted', 'b') },
    },
    {
        title: 'a non-idempotent request is claimed first, and not repeated once it may have run',
        req: { ...REQUEST, idempotent: false },
        events: [DONE, DONE, CHOSEN, MAY_RUN, DONE],
        commands: ['reserve', 'claim', 'choose', 'dispatch', 'release'],
        outcome: { type: 'refused', fail: failure('outcome-unknown', 'u', 'unknown') },
    },
    {
        title: 'a later refusal never turns a dispatched attempt into "not-run"',
        req: REQUEST,
        events: [DONE, CHOSEN, MAY_RUN, NOT_RUN, DONE],
        commands: ['reserve', 'choose', 'dispatch', 'choose', 'release'],
        outcome: { type: 'refused', fail: failure('outcome-unknown', 'u', 'unknown') },
    },
];
ROWS.forEach((row) => {
    test(`serve: ${row.title}`, (t) => {
        const result = run(row.req, row.events);
        t.deepEqual(result.commands, row.commands);
        t.deepEqual(result.outcome, row.outcome);
    });
});
//# sourceMappingURL=serve.test.js.map