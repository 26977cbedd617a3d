import test from 'ava';

import { AllowanceFleet } from '../../../testbed/allowancefleet.js';
import { parseAllowances } from '../../allowance/index.js';

/** Share of what was paid that may be out of use. */
const STRANDED = 0.03;

const WORST_CASE = 12_000;

const SHAPE = { dataCentres: ['x', 'y', 'z'], perDataCentre: 12, paid: 1_000_000 } as const;

const ROWS = [
  { title: 'answers as long as they may be', used: 12_000 },
  { title: 'answers of half the length', used: 7_000 },
  { title: 'short answers', used: 2_500 },
] as const;

ROWS.forEach(({ title, used }) => {
  test(`what loans leave over is used by others, until all is spent: ${title}`, async (t) => {
    const fleet = new AllowanceFleet(SHAPE);
    fleet.refresh();
    await fleet.serveAll(WORST_CASE, used, 200);
    const least = SHAPE.paid * (1 - STRANDED) - WORST_CASE;
    t.true(fleet.spent >= least, `${fleet.spent} of ${SHAPE.paid} were spent`);
    t.true(fleet.spent <= SHAPE.paid);
  });
});

test('after the death of half of a fleet no more is out of use than the dead had ready', async (t) => {
  const fleet = new AllowanceFleet(SHAPE);
  fleet.refresh();
  await fleet.serveAll(WORST_CASE, 5_000, 1);
  const { value } = (await fleet.store.read('allowances/shard-0')).unwrap();
  const dead = [...fleet.members.keys()].filter((_name, index) => index % 2 === 0);
  const lost = parseAllowances(value)
    .rows.filter(({ holder }) => dead.includes(holder.split('~')[0] ?? ''))
    .flatMap(({ lines }) => lines)
    .reduce((sum, { granted, spent }) => sum + granted - spent, 0);
  dead.forEach((name) => fleet.kill(name));
  await fleet.serveAll(WORST_CASE, 5_000, 20);
  dead.forEach((name) => fleet.start(name));
  await fleet.serveAll(WORST_CASE, 5_000, 200);
  const least = SHAPE.paid * (1 - STRANDED) - WORST_CASE - lost;
  t.true(fleet.spent >= least, `${fleet.spent} of ${SHAPE.paid} were spent, ${lost} were lost`);
});
