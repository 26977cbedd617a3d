import test from 'ava';
import { pino } from 'pino';

import type { Backups } from '../backups.js';
import type { ConfigTask } from '../configtask.js';
import { FaultyStore } from '../../../testbed/faultystore.js';
import { PeerlessNetwork } from '../../../testbed/peerlessnetwork.js';
import { waitFor } from '../../../testbed/wait.js';
import { shardKey } from '../../budget/index.js';
import { SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { ShardMaintenance } from '../shardmaintenance.js';

/** Time in which at least one round begins, in milliseconds. */
const ROUND_MS = 3_000;

class ReadCounter extends FaultyStore {
  readonly keys: string[] = [];

  override read(key: string): ReturnType<FaultyStore['read']> {
    this.keys.push(key);
    return super.read(key);
  }
}

test('a shard that is invalid does not keep the others from being maintained', async (t) => {
  const store = new ReadCounter(() => 'answered');
  await store.write(shardKey(0), 'odd', 0);
  const logger = pino({ level: 'silent' });
  const recorder = new Recorder('entry-1~1', new SystemClock(), { logger, metrics: undefined });
  const maintenance = new ShardMaintenance({
    self: 'entry-1~1',
    store,
    // Used only for shards with holders.
    backups: {} as Backups,
    network: new PeerlessNetwork(),
    config: { current: { manifest: { budgetShards: 2 } } } as ConfigTask,
    recorder,
  });
  maintenance.start();
  t.teardown(() => maintenance.stop());
  await waitFor('the second shard', () => store.keys.includes(shardKey(1)), ROUND_MS);
  t.true(recorder.timeline.list().some(({ name }) => name === 'shardCareFailed'));
});
