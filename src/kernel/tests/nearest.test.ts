import test from 'ava';

import { editDistance, nearestName } from '../nearest.js';

const DISTANCES = [
  { a: '', b: '', distance: 0 },
  { a: '', b: 'abc', distance: 3 },
  { a: 'route', b: 'route', distance: 0 },
  { a: 'route', b: 'rout', distance: 1 },
  { a: 'route', b: 'routes', distance: 1 },
  { a: 'kitten', b: 'sitting', distance: 3 },
] as const;

DISTANCES.forEach(({ a, b, distance }) => {
  test(`edit distance of "${a}" and "${b}"`, (t) => {
    t.is(editDistance(a, b), distance);
    t.is(editDistance(b, a), distance);
  });
});

const NEAREST = [
  { name: 'Concurency', known: ['name', 'concurrency'], near: 'concurrency' },
  { name: 'x', known: ['name', 'state'], near: undefined },
  { name: 'retrys', known: ['silenceMs', 'retries'], near: 'retries' },
  { name: 'a', known: [], near: undefined },
] as const;

NEAREST.forEach(({ name, known, near }) => {
  test(`nearest name to "${name}" among ${known.length}`, (t) => {
    t.is(nearestName(name, known), near);
  });
});
