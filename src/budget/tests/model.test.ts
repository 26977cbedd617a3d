import test from 'ava';
import fc from 'fast-check';

import { DEFAULT_SEED } from '../../../testbed/seed.js';
import { spentOf } from '../ledger.js';
import { budgetOf, newWorld, takeStep, violation } from './model.js';

import type { Step, World } from './model.js';

const NAMES = ['a~1', 'b~1', 'c~1', 'd~1'];
const PAID = 250;
const RUNS = 3_000;

const KINDS: readonly Step['kind'][] = [
  'reserve',
  'reserve',
  'finish',
  'draw',
  'drawLost',
  'lend',
  'lend',
  'deliver',
  'deliver',
  'giveBack',
  'settle',
  'settleLost',
  'topUp',
  'crash',
  'recover',
  'close',
];

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...KINDS),
  who: fc.nat(3),
  other: fc.nat(12),
  units: fc.integer({ min: 1, max: 90 }),
});

const schedule = fc.array(stepArbitrary, { minLength: 10, maxLength: 120 });

function runAll(steps: readonly Step[]): { readonly world: World; readonly broken?: string } {
  let world = newWorld(NAMES, PAID);
  for (let index = 0; index < steps.length; index += 1) {
    const step = steps[index];
    if (step) world = takeStep(world, step);
    const broken = violation(world);
    if (broken) return { world, broken: `step ${index} (${step?.kind ?? ''}): ${broken}` };
  }
  return { world };
}

test('no order of loss, repeat, delay and crash grants or spends a unit twice', (t) => {
  t.log(`seed ${DEFAULT_SEED}`);
  fc.assert(
    fc.property(schedule, (steps) => {
      const { broken } = runAll(steps);
      return broken === undefined || t.log(broken) !== undefined;
    }),
    { seed: DEFAULT_SEED, numRuns: RUNS },
  );
  t.pass();
});

/** Ends every request, tells the store everything, until nothing changes. */
function quiesce(world: World): World {
  const kinds: readonly Step['kind'][] = ['finish', 'draw', 'settle', 'recover'];
  const rounds = Array.from({ length: 60 }, (_, round) =>
    NAMES.flatMap((_name, who) => kinds.map((kind) => ({ kind, who, other: round, units: 0 }))),
  );
  return rounds.flat().reduce(takeStep, world);
}

test('once all is told, the store has settled every used unit exactly once', (t) => {
  t.log(`seed ${DEFAULT_SEED}`);
  fc.assert(
    fc.property(schedule, (steps) => {
      const world = quiesce(runAll(steps).world);
      const used = world.holders.reduce((sum, holder) => sum + holder.used, 0);
      return spentOf(budgetOf(world)) === used && violation(world) === undefined;
    }),
    { seed: DEFAULT_SEED, numRuns: 500 },
  );
  t.pass();
});
