import { once } from 'node:events';
import { connect } from 'node:net';

import test from 'ava';

import { StatsD } from 'hot-shots';
import { pino } from 'pino';

import type { Socket } from 'node:net';
import { LocalNetwork } from '../../../testbed/localnetwork.js';
import { MemoryStore } from '../../../testbed/memorystore.js';
import { stall } from '../../../testbed/stall.js';
import { ThreadedUpstream } from '../../../testbed/threadedupstream.js';
import { waitFor } from '../../../testbed/wait.js';
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

import type { Result } from '../../kernel/index.js';
import type { ObjectStore, StoreError } from '../../store/index.js';

const SELF = 'entry~1';
const BUDGET = 'b';

/** Time for which the request waits for its units, in milliseconds. */
const WAIT_MS = 300;

/** Time after which the store confirms the draw, in milliseconds: within the wait and the stall. */
const ANSWER_AFTER_MS = 150;

/** Time of the stall, in milliseconds: beyond the wait. */
const STALL_MS = 500;

/** Store whose writes are confirmed over a connection. */
class ConfirmedStore extends MemoryStore {
  constructor(private readonly socket: Socket) {
    super();
  }

  override async write(
    key: string,
    value: unknown,
    expected: number,
  ): Promise<Result<number, StoreError>> {
    const confirmed = once(this.socket, 'data');
    this.socket.write('x');
    await confirmed;
    return super.write(key, value, expected);
  }
}

function makeAdmission(store: ObjectStore): Admission {
  const network = new LocalNetwork(SELF, 'dc-1', 1);
  const logger = pino({ level: 'silent' });
  const clock = new SystemClock();
  const recorder = new Recorder(SELF, clock, { logger, metrics: new StatsD({ mock: true }) });
  const config = { current: undefined };
  const backups = new Backups(SELF, 'dc-1', network);
  const onFenced = (): void => undefined;
  const charges = new Charges({ self: SELF, store, backups, config, recorder, onFenced });
  const budgets = new BudgetTask(clock);
  const grants = new Grants({ self: SELF, store, budgets, config, recorder, clock, charges });
  const registerLoan = charges.registerLoan.bind(charges);
  const lending = new Lending({ self: SELF, network, budgets, recorder, registerLoan });
  return new Admission({ budgets, grants, lending, network, recorder });
}

test('a request whose units the store has granted during a stall is admitted', async (t) => {
  const upstream = await ThreadedUpstream.start({
    answers: [
      { text: 'paid', then: 'keep' },
      { text: 'joined', then: 'keep' },
      { text: 'drawn', then: 'keep', afterMs: ANSWER_AFTER_MS },
    ],
    idHeader: 'none',
  });
  const [host, port] = upstream.address.split(':');
  const socket = connect({ host: host ?? '', port: Number(port) });
  t.teardown(async () => {
    socket.destroy();
    await upstream.stop();
  });
  const store = new ConfirmedStore(socket);
  const payment = { budget: BUDGET, workspace: 'w', operation: 'op', units: 10_000, at: 1 };
  const kind = { key: shardKey(0), parse: parseShard };
  await updateObject(store, kind, (value) => topUp(value, payment));
  const admitting = makeAdmission(store).admit({
    request: 'k',
    budget: BUDGET,
    units: 100,
    waitMs: WAIT_MS,
  });
  await waitFor('the draw is sent', async () => (await upstream.requestCount()) === 3);
  await stall(STALL_MS);
  const admitted = await admitting;
  t.is(admitted.err ? admitted.val.code : undefined, undefined);
});
