import test from 'ava';

import { StatsD } from 'hot-shots';
import { pino } from 'pino';

import { LocalNetwork } from '../../../testbed/localnetwork.js';
import { MemoryStore } from '../../../testbed/memorystore.js';
import { parseShard, shardKey, topUp } from '../../budget/index.js';
import { SystemClock } from '../../kernel/index.js';
import { updateObject } from '../../store/index.js';
import { Recorder } from '../../telemetry/index.js';
import { Admission } from '../admission.js';
import { Backups } from '../backups.js';
import { BudgetTask } from '../budgettask.js';
import { Charges } from '../charges.js';
import { Grants } from '../grants.js';
import { Lending } from '../lending.js';

const SELF = 'entry~1';
const BUDGET = 'b';
const WORST_CASE = 100;
const REQUESTS = 200;

async function makeAdmission(units: number): Promise<Admission> {
  const store = new MemoryStore();
  const network = new LocalNetwork(SELF, 'dc-1', 1);
  const logger = pino({ level: 'silent' });
  const clock = new SystemClock();
  const recorder = new Recorder(SELF, clock, { logger, metrics: new StatsD({ mock: true }) });
  const payment = { budget: BUDGET, workspace: 'w', operation: 'op', units, at: 1 };
  const kind = { key: shardKey(0), parse: parseShard };
  await updateObject(store, kind, (value) => topUp(value, payment));
  const config = { current: undefined };
  const backups = new Backups(SELF, 'dc-1', network);
  const onFenced = (): void => undefined;
  const charges = new Charges({ self: SELF, store, backups, config, recorder, onFenced });
  const budgets = new BudgetTask(clock);
  const grants = new Grants({ self: SELF, store, budgets, config, recorder, clock, charges });
  const registerLoan = charges.registerLoan.bind(charges);
  const lending = new Lending({
    self: SELF,
    network,
    budgets,
    recorder,
    registerLoan,
  });
  return new Admission({ budgets, grants, lending, network, recorder });
}

async function admitAll(admission: Admission): Promise<readonly (string | undefined)[]> {
  const requests = Array.from({ length: REQUESTS }, (_, index) => ({
    request: `k${index}`,
    budget: BUDGET,
    units: WORST_CASE,
    waitMs: 2_000,
  }));
  const results = await Promise.all(requests.map((request) => admission.admit(request)));
  return results.map((result) => (result.err ? result.val.code : undefined));
}

test('admits a whole burst at a new daemon if the store has enough units', async (t) => {
  const codes = await admitAll(await makeAdmission(REQUESTS * WORST_CASE));
  t.deepEqual(
    codes.filter((code) => code !== undefined),
    [],
  );
});

test('admits requests of a burst until the budget is used up, and refuses the others', async (t) => {
  const fitting = REQUESTS / 2;
  const codes = await admitAll(await makeAdmission(fitting * WORST_CASE));
  t.is(codes.filter((code) => code === undefined).length, fitting);
  t.is(codes.filter((code) => code === 'budget-exhausted').length, REQUESTS - fitting);
});
