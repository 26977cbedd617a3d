import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { AllowanceFleet, WORKSPACE } from '../../../testbed/allowancefleet.js';

/** Maximum share of the paid units that may be unusable. */
const MAX_UNUSABLE_SHARE = 0.03;

/** Time within which messages between daemons and draws complete, in milliseconds. */
const SETTLE_MS = 50;

const WORST_CASE = 12_000;

/** Number of borrowers that stop. */
const STOPS = 5;

const SHAPE = { dataCentres: ['x', 'y', 'z'], perDataCentre: 12, paid: 120_000 } as const;

const ROWS = [
  { title: 'answers of the largest length', used: 12_000 },
  { title: 'answers of half the length', used: 7_000 },
  { title: 'short answers', used: 2_500 },
] as const;

ROWS.forEach(({ title, used }) => {
  test(`units that a stopping borrower has left are used by other daemons: ${title}`, async (t) => {
    const fleet = new AllowanceFleet(SHAPE);
    fleet.refresh();
    await delay(SETTLE_MS);
    const borrowers = [...fleet.members.values()].filter(
      ({ holders }) => !holders.isHolder(WORKSPACE),
    );
    for (const { name, allowances } of borrowers.slice(0, STOPS)) {
      // The stops run one at a time.
      // eslint-disable-next-line no-await-in-loop
      const reserved = await allowances.reserve(WORKSPACE, WORST_CASE, SETTLE_MS);
      t.true(reserved.ok);
      allowances.settle(WORKSPACE, WORST_CASE, used);
      fleet.spent += used;
      // eslint-disable-next-line no-await-in-loop
      await allowances.stop();
      fleet.kill(name);
    }
    await fleet.serveAll(1_000, 1_000, 200);
    const least = fleet.shape.paid * (1 - MAX_UNUSABLE_SHARE) - 1_000;
    t.true(fleet.spent >= least, `${fleet.spent} of ${fleet.shape.paid} were spent`);
    t.true(fleet.spent <= fleet.shape.paid);
  });
});
