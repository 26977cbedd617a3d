import { readFile } from 'node:fs/promises';
import test from 'ava';
import { EVENTS } from '../events.js';
import { renderEventsPage } from '../eventsdoc.js';
test('every event has a number of its own', (t) => {
    const numbers = Object.values(EVENTS).map(({ number }) => number);
    t.is(new Set(numbers).size, numbers.length);
});
test('docs/EVENTS.md is what "npm run docs" writes', async (t) => {
    t.is(await readFile('docs/EVENTS.md', 'utf8'), renderEventsPage());
});
//# sourceMappingURL=events.test.js.map