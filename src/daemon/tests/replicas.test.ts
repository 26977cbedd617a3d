import test from 'ava';

import { MemoryHub } from '../../../testbed/memoryhub.js';
import { Backups } from '../backups.js';
import { chooseReplicas } from '../replicas.js';

import type { Incarnation } from '../../kernel/index.js';

/** In these tests the first letter of an instance name is the name of the data centre. */
const SELF = 'a-1~1' as Incarnation;

interface Row {
  readonly title: string;
  readonly live: readonly string[];
  readonly replicas: readonly string[];
  readonly preferred: string | null;
  /** Replicas that answered the check; absent if all of them did. */
  readonly reachable?: readonly string[];
  readonly backup: string | null;
  readonly standby: string | null;
}

const ROWS: readonly Row[] = [
  {
    title: 'keeps a pair with one replica in the same data centre',
    live: ['a-2~1', 'b-1~1', 'b-2~1'],
    replicas: ['b-1~1', 'a-2~1'],
    preferred: 'b-1~1',
    backup: 'b-1~1',
    standby: 'a-2~1',
  },
  {
    title: 'replaces a remote standby by a new daemon in the same data centre',
    live: ['a-2~1', 'b-1~1', 'c-1~1'],
    replicas: ['b-1~1', 'c-1~1'],
    preferred: 'b-1~1',
    backup: 'b-1~1',
    standby: 'a-2~1',
  },
  {
    title: 'keeps a remote standby while the data centre has no other daemon',
    live: ['b-1~1', 'c-1~1'],
    replicas: ['b-1~1', 'c-1~1'],
    preferred: 'b-1~1',
    backup: 'b-1~1',
    standby: 'c-1~1',
  },
  {
    title: 'replaces a remote standby also while a recorded local replica is unreachable',
    live: ['a-3~1', 'b-1~1', 'c-1~1'],
    replicas: ['a-2~1', 'c-1~1'],
    preferred: 'a-2~1',
    reachable: ['c-1~1'],
    backup: 'b-1~1',
    standby: 'a-3~1',
  },
  {
    title: 'replaces an unreachable standby',
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
      // Registers handlers that answer the queries of the daemon under test.
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
