import test from 'ava';
import { pino } from 'pino';

import { LateStore } from '../../../testbed/latestore.js';
import { MemoryHub } from '../../../testbed/memoryhub.js';
import { parseAllowances } from '../../allowance/index.js';
import { instanceOf, newIncarnation, SteadyClock, SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { Allowances } from '../allowances.js';
import { Holders } from '../holders.js';

const WORKSPACE = 'lender';
const PAID = 10_000;
const INSTANCES = ['a', 'b', 'c', 'd', 'e'];

interface Daemon {
  readonly name: string;
  readonly allowances: Allowances;
  readonly holders: Holders;
}

/** Five daemons of one data centre in which one keeps the units of the workspace. */
function fleet(store: LateStore): readonly Daemon[] {
  const hub = new MemoryHub(() => 'answered');
  return INSTANCES.map((instance) => {
    const self = newIncarnation(instance);
    const network = hub.join(self);
    const clock = new SteadyClock();
    const logger = pino({ level: 'silent' });
    const recorder = new Recorder(self, new SystemClock(), { logger, metrics: undefined });
    const holders = new Holders({
      self,
      dataCentre: 'x',
      daemons: () => INSTANCES.map((name) => ({ name, dataCentre: 'x' })),
      clock,
      allUpTo: 3,
    });
    const allowances = new Allowances({
      self,
      store,
      network,
      recorder,
      clock,
      holders,
      policy: () => ({
        aloneSeconds: 10,
        exposure: holders.isHolder(WORKSPACE) ? 0.2 : 0,
        idlePart: 0.5,
        daemons: 1,
        smoothingMs: 8_000,
      }),
      shards: 1,
      paidOf: () => PAID,
      workspaces: () => [WORKSPACE],
      isStoreUp: () => true,
    });
    return { name: instanceOf(self), allowances, holders };
  });
}

async function rowsOf(store: LateStore): Promise<readonly string[]> {
  const { value } = (await store.read('allowances/shard-0')).unwrap();
  return parseAllowances(value).rows.map(({ holder }) => instanceOf(holder));
}

const ROWS = [
  { title: 'less than is ready', units: 400, ok: true },
  { title: 'more than is ready: the holder draws first', units: 4_000, ok: true },
  { title: 'more than was paid', units: 12_000, ok: false },
] as const;

ROWS.forEach(({ title, units, ok }) => {
  test(`a daemon that keeps no units borrows ${title}`, async (t) => {
    const store = new LateStore(() => 'answered');
    const daemons = fleet(store);
    const holder = daemons.find(({ holders }) => holders.isHolder(WORKSPACE));
    const borrower = daemons.find(({ holders }) => !holders.isHolder(WORKSPACE));
    daemons.forEach(({ allowances }) => allowances.refresh());
    const reserved = await borrower?.allowances.reserve(WORKSPACE, units, 200);
    t.is(reserved?.ok, ok);
    t.deepEqual(await rowsOf(store), [holder?.name]);
    if (reserved?.err) t.is(reserved.val.code, 'budget-exhausted');
  });
});
