import test from 'ava';

import { MemoryHub } from '../../../testbed/memoryhub.js';
import { Backups } from '../backups.js';
import { chooseReplicas } from '../replicas.js';

import type { Incarnation } from '../../kernel/index.js';

/** The first letter of an instance is its data centre. */
const SELF = 'a-1~1' as Incarnation;

interface Row {
  readonly title: string;
  readonly live: readonly string[];
  readonly replicas: readonly string[];
  readonly preferred: string | null;
  /** Keepers that answered just now; default all. */
  readonly reachable?: readonly string[];
  readonly backup: string | null;
  readonly standby: string | null;
}

const ROWS: readonly Row[] = [
  {
    title: 'a pair with one daemon near stays',
    live: ['a-2~1', 'b-1~1', 'b-2~1'],
    replicas: ['b-1~1', 'a-2~1'],
    preferred: 'b-1~1',
    backup: 'b-1~1',
    standby: 'a-2~1',
  },
  {
    title: 'a standby elsewhere gives way to a daemon near that has started since',
    live: ['a-2~1', 'b-1~1', 'c-1~1'],
    replicas: ['b-1~1', 'c-1~1'],
    preferred: 'b-1~1',
    backup: 'b-1~1',
    standby: 'a-2~1',
  },
  {
    title: 'a standby elsewhere stays while nobody is near',
    live: ['b-1~1', 'c-1~1'],
    replicas: ['b-1~1', 'c-1~1'],
    preferred: 'b-1~1',
    backup: 'b-1~1',
    standby: 'c-1~1',
  },
  {
    title: 'it gives way also while one near is on record but gone',
    live: ['a-3~1', 'b-1~1', 'c-1~1'],
    replicas: ['a-2~1', 'c-1~1'],
    preferred: 'a-2~1',
    reachable: ['c-1~1'],
    backup: 'b-1~1',
    standby: 'a-3~1',
  },
  {
    title: 'a standby that is gone is replaced',
    live: ['a-3~1', 'b-1~1'],
    replicas: ['b-1~1', 'a-2~1'],
    preferred: 'b-1~1',
    reachable: ['b-1~1'],
    backup: 'b-1~1',
    standby: 'a-3~1',
  },
];

ROWS.forEach(({ title, live, replicas, preferred, reachable = replicas, backup, standby }) => {
  test(title, async (t) => {
    const hub = new MemoryHub(
      () => 'answered',
      (instance) => instance[0] ?? '',
    );
    const network = hub.join(SELF);
    live.forEach((self) => {
      const peerNetwork = hub.join(self);
      // Answers queries of the daemon under test.
      const peer = new Backups(self, self[0] ?? '', peerNetwork);
      t.is(peer.silentMs(SELF), null);
    });
    const recorded = {
      replicas,
      preferred,
    };
    const pair = await chooseReplicas(new Backups(SELF, 'a', network), recorded, (replica) =>
      reachable.includes(replica),
    );
    t.deepEqual({ backup: pair.backup, standby: pair.standby }, { backup, standby } as never);
  });
});
