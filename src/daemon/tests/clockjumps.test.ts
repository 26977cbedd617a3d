import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { freePort } from '../../../testbed/ports.js';
import { Runtime } from '../runtime.js';
import { safeParseSettings } from '../settings.js';

const HOUR_MS = 3_600_000;

/** Time after which a daemon has asked a store that failed again, in milliseconds: longer than its pause. */
const PAUSE_MS = 1_200;

/** Prepaid units of the requests before the jump. */
const UNITS = 500;

async function startRuntime(): Promise<Runtime> {
  const [callers, peers, objects, instances] = [
    await freePort(),
    await freePort(),
    await freePort(),
    await freePort(),
  ];
  const lines = [
    'instance: entry-1',
    'dataCentre: kurume',
    `listen: { callers: "127.0.0.1:${callers}", peers: "127.0.0.1:${peers}" }`,
    `platform: { objects: "http://127.0.0.1:${objects}", instances: "http://127.0.0.1:${instances}" }`,
    'fleetKey: 0123456789abcdef',
    'operatorKey: 0123456789abcdef',
    'logLevel: silent',
  ];
  return new Runtime(safeParseSettings('s.yaml', lines.join('\n')).unwrap());
}

const ROWS = [
  { title: 'back', jumpMs: -HOUR_MS },
  { title: 'forward', jumpMs: HOUR_MS },
] as const;

ROWS.forEach(({ title, jumpMs }) => {
  test.serial(`a time of day that jumps ${title} changes neither pauses nor demand`, async (t) => {
    const { serving } = await startRuntime();
    const { grants, budgets } = serving;
    const reserved = await budgets.ask({ type: 'reserve', budget: 'main', units: UNITS });
    const before = reserved.holding.demand;
    await grants.draw('main', UNITS);
    t.true(grants.hasStoreFailedRecently);
    const realNow = Date.now;
    t.teardown(() => {
      Date.now = realNow;
    });
    Date.now = () => realNow() + jumpMs;
    t.true(grants.hasStoreFailedRecently, 'the pause is cut');
    const { holding } = await budgets.ask({ type: 'reserve', budget: 'main', units: 1 });
    t.true(holding.demand.largest > UNITS * 0.9, 'the demand is forgotten');
    t.true(Math.abs(holding.demand.at - before.at) < HOUR_MS / 2);
    await delay(PAUSE_MS);
    t.false(grants.hasStoreFailedRecently, 'the pause does not end');
    Date.now = realNow;
  });
});
