import test from 'ava';
import fc from 'fast-check';

import { DEFAULT_SEED } from '../../../testbed/seed.js';
import { spentOf } from '../ledger.js';
import { budgetOf, newModel, takeStep, violation } from './model.js';

import type { Step, ModelState } from './model.js';

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

function runAll(steps: readonly Step[]): { readonly model: ModelState; readonly broken?: string } {
  let state = newModel(NAMES, PAID);
  for (let index = 0; index < steps.length; index += 1) {
    const step = steps[index];
    if (step) state = takeStep(state, step);
    const broken = violation(state);
    if (broken) return { model: state, broken: `step ${index} (${step?.kind ?? ''}): ${broken}` };
  }
  return { model: state };
}

test('message loss, repeats, delays and crashes never grant or spend a unit twice', (t) => {
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

/**
 * Ends every request and reports everything to the store, in enough rounds to reach a steady state.
 */
function quiesce(model: ModelState): ModelState {
  const kinds: readonly Step['kind'][] = ['finish', 'draw', 'settle', 'recover'];
  const rounds = Array.from({ length: 60 }, (_, round) =>
    NAMES.flatMap((_name, who) => kinds.map((kind) => ({ kind, who, other: round, units: 0 }))),
  );
  return rounds.flat().reduce(takeStep, model);
}

test('once everything is reported, the store has settled every used unit exactly once', (t) => {
  t.log(`seed ${DEFAULT_SEED}`);
  fc.assert(
    fc.property(schedule, (steps) => {
      const model = quiesce(runAll(steps).model);
      const used = model.holders.reduce((sum, holder) => sum + holder.used, 0);
      return spentOf(budgetOf(model)) === used && violation(model) === undefined;
    }),
    { seed: DEFAULT_SEED, numRuns: 500 },
  );
  t.pass();
});
