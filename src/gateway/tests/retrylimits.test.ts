import test from 'ava';

import { RetryBudget } from '../../route/index.js';
import { retryLimits } from '../retrylimits.js';

const ROWS = [
  { daemons: 7, reserve: 54 },
  { daemons: 12, reserve: 54 },
  { daemons: 83, reserve: 206 },
  { daemons: 195, reserve: 430 },
  { daemons: 1_300, reserve: 2_900 },
] as const;

ROWS.forEach(({ daemons, reserve }) => {
  test(`${daemons} daemons that retry all they may stay within the limits of the fleet`, (t) => {
    const limits = retryLimits({ perRequest: 0.2, reserve }, daemons);
    const requests = 40;
    const budget = new RetryBudget(() => limits);
    for (let request = 0; request < requests; request += 1) {
      budget.addRequest();
      for (let isGranted = true; isGranted;) isGranted = budget.takeRetry();
    }
    t.true(budget.retries * daemons <= reserve + 0.2 * requests * daemons);
    t.true(budget.retries > 0);
  });
});

test('the parts follow the size of the fleet', (t) => {
  let daemons = 1;
  const limits = { perRequest: 0.1, reserve: 430 };
  const budget = new RetryBudget(() => retryLimits(limits, daemons));
  daemons = 195;
  budget.addRequest();
  t.deepEqual([budget.takeRetry(), budget.takeRetry()], [true, false]);
});
