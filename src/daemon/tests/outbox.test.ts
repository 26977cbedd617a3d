import test from 'ava';

import { StatsD } from 'hot-shots';
import { pino } from 'pino';

import { LocalNetwork } from '../../../testbed/localnetwork.js';
import { MemoryStore } from '../../../testbed/memorystore.js';
import { parseShard, shardKey } from '../../budget/index.js';
import { SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { Backups } from '../backups.js';
import { Outbox } from '../outbox.js';

const SELF = 'entry~1';

test('an outbox that is still joining does not treat its missing entry as a fence', async (t) => {
  const store = new MemoryStore();
  const network = new LocalNetwork(SELF, 'dc-1', 1);
  const far = new LocalNetwork('peer~1', 'dc-2', 1);
  // Registers handlers that answer the queries of this daemon.
  const peer = new Backups('peer~1', 'dc-2', far);
  network.connect(far);
  const fenced: string[] = [];
  const outbox = new Outbox(0, {
    self: SELF,
    store,
    backups: new Backups(SELF, 'dc-1', network),
    recorder: new Recorder(SELF, new SystemClock(), {
      logger: pino({ level: 'silent' }),
      metrics: new StatsD({ mock: true }),
    }),
    onFenced: (detail) => fenced.push(detail),
  });
  // The join still waits for the answer of a backup, so beat() is called while the shard has no
  // entry of this holder; a heartbeat written now would find none and count as fenced.
  const joining = outbox.join();
  await outbox.beat();
  t.true(await joining);
  t.truthy(peer);
  t.deepEqual(fenced, []);
  t.deepEqual(
    parseShard(store.peek(shardKey(0))).holders.map(({ holder, backup }) => [holder, backup]),
    [[SELF, 'peer~1']],
  );
});
