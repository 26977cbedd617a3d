import { readFile } from 'node:fs/promises';

import test from 'ava';

import { EVENTS } from '../events.js';
import { renderEventsPage } from '../eventsdoc.js';

test('event numbers are unique', (t) => {
  const numbers = Object.values(EVENTS).map(({ number }) => number);
  t.is(new Set(numbers).size, numbers.length);
});

test('docs/EVENTS.md is up to date with the catalogue (npm run docs)', async (t) => {
  t.is(await readFile('docs/EVENTS.md', 'utf8'), renderEventsPage());
});
