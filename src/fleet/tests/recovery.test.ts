import test from 'ava';
import fc from 'fast-check';

import { DEFAULT_SEED } from '../../../testbed/seed.js';
import { WINDOW_UNITS } from '../index.js';
import { PAID, RecoveryModel } from './recoverymodel.js';

import type { Step } from './recoverymodel.js';

const RUNS = 4_000;
const STEPS = 120;

const USUAL = ['grant', 'reserve', 'reserve', 'charge', 'charge', 'copy', 'deliver', 'deliver'];
const FAULTS = ['abandon', 'deliver', 'repeat', 'lose', 'settle', 'change', 'switch'];
const RECOVERY = ['recover', 'recover', 'recover', 'leave'];
const CRASHES = ['crash-holder', 'crash-backup', 'operator', 'operator'];

const stepArbitrary = fc.record({
  type: fc.oneof(
    { weight: 60, arbitrary: fc.constantFrom(...USUAL) },
    { weight: 20, arbitrary: fc.constantFrom(...FAULTS) },
    { weight: 2, arbitrary: fc.constantFrom(...RECOVERY) },
    { weight: 1, arbitrary: fc.constantFrom(...CRASHES) },
  ),
  pick: fc.nat(7),
  units: fc.integer({ min: 1, max: WINDOW_UNITS / 4 }),
  isLost: fc.integer({ min: 0, max: 4 }).map((roll) => roll === 0),
}) as fc.Arbitrary<Step>;

function violation(model: RecoveryModel): string | undefined {
  const { row, shard, allLines, answered, settled } = model;
  const out = (shard.budgets[0]?.rows ?? []).reduce((sum, r) => sum + r.granted - r.returned, 0);
  if (out > PAID) return `rows are granted ${out} units, but ${PAID} were paid`;
  const counted = allLines.filter(({ sequence }) => sequence <= settled);
  const billed = counted.reduce((sum, { units }) => sum + units, 0);
  if (row.spent !== billed)
    return `${row.spent} units are spent, but the settled lines cost ${billed}`;
  const free = row.granted - row.returned - row.spent;
  if (free < 0)
    return `${row.spent} units are spent, but ${row.granted - row.returned} are granted`;
  if (model.isWrittenOff) return undefined;
  if (!model.hasLeft && free < model.open)
    return `${model.open} units are reserved, but only ${free} are held`;
  const lost = model.isEnded && [...answered].some((sequence) => sequence > settled);
  return lost ? 'the holder has ended, but an answered request is not billed' : undefined;
}

test(`recovery keeps every answered line and frees nothing in use (seed ${DEFAULT_SEED})`, (t) => {
  const seen = { answered: 0, ended: 0, lines: 0 };
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, { minLength: 40, maxLength: STEPS, size: 'max' }),
      (steps) => {
        const model = new RecoveryModel();
        steps.forEach((step, at) => {
          model.step(step);
          const found = violation(model);
          if (found) throw new Error(`after step ${at} (${step.type}): ${found}`);
        });
        seen.answered += model.answered.size;
        seen.ended += model.isEnded ? 1 : 0;
        seen.lines += model.allLines.length;
      },
    ),
    { seed: DEFAULT_SEED, numRuns: RUNS },
  );
  t.log(`${seen.lines} lines, ${seen.answered} answered, ${seen.ended} holders ended`);
  t.true(seen.answered > RUNS / 4 && seen.ended > RUNS / 10);
});
