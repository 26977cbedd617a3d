import test from 'ava';

import { AllowanceFleet } from '../../../testbed/allowancefleet.js';
import { waitFor } from '../../../testbed/wait.js';

/** Calls of one daemon at its start: a read, a write, and a second and a third one after conflicts. */
const MAX_CALLS_PER_START = 4;

/** Two refreshes of a daemon, in milliseconds. */
const FIRST_DRAW_TIMEOUT_MS = 2_000;

test('daemons that start at once draw their first units without a storm of conflicts', async (t) => {
  const perDataCentre = 16;
  const fleet = new AllowanceFleet({
    dataCentres: ['x'],
    perDataCentre,
    paid: 1_000_000,
    allUpTo: perDataCentre,
  });
  fleet.store.answerMs = 4;
  fleet.members.forEach(({ allowances }) => allowances.start());
  t.teardown(() => {
    fleet.members.forEach(({ allowances }) => {
      void allowances.stop();
    });
  });
  const drawn = (): boolean =>
    [...fleet.members.values()].every(({ recorder }) =>
      recorder.timeline.list().some(({ name }) => name === 'allowanceDrawn'),
    );
  await t.notThrowsAsync(waitFor('every daemon has drawn', drawn, FIRST_DRAW_TIMEOUT_MS));
  const { calls } = fleet.store;
  t.true(calls <= MAX_CALLS_PER_START * perDataCentre, `${calls} calls`);
});
