import test from 'ava';

import { AllowanceFleet } from '../../../testbed/allowancefleet.js';
import { waitFor } from '../../../testbed/wait.js';

/**
 * Maximum number of store calls that a daemon needs for its first draw: a read, a write, and two more
 * writes after conflicts.
 */
const MAX_CALLS_PER_START = 4;

/** Time limit for the first draws of all daemons, in milliseconds: two refresh intervals. */
const FIRST_DRAW_TIMEOUT_MS = 2_000;

test('daemons that start together draw their first units with few store calls', async (t) => {
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
