/**
 * Placement: which daemons may be backup or standby of another, and which ones maintain a shard.
 */
import { instanceOf, rendezvous } from '../kernel/index.js';

import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { Instance } from '../store/index.js';

interface RankedPeers {
  readonly away: readonly InstanceName[];
  readonly near: readonly InstanceName[];
}

function rankPeers(self: Incarnation, dataCentre: string, peers: readonly Instance[]): RankedPeers {
  const live = peers.filter(({ state }) => state === 'live');
  const away = live.filter((peer) => peer.dataCentre !== dataCentre).map(({ name }) => name);
  const near = live.filter((peer) => peer.dataCentre === dataCentre).map(({ name }) => name);
  const own = instanceOf(self);
  return { away: rendezvous(own, away), near: rendezvous(own, near) };
}

/**
 * Ranks the candidates for a backup: instances in other data centres come first.
 * @param self - incarnation that needs a backup
 * @param dataCentre - its data centre
 * @param peers - the other instances
 * @returns the candidates, the best first
 */
export function backupCandidates(
  self: Incarnation,
  dataCentre: string,
  peers: readonly Instance[],
): readonly InstanceName[] {
  const { away, near } = rankPeers(self, dataCentre, peers);
  return [...away, ...near];
}

/**
 * Ranks the candidates for a standby: instances in the same data centre come first.
 * @param self - incarnation that needs a standby
 * @param dataCentre - its data centre
 * @param peers - the other instances
 * @returns the candidates, the best first
 */
export function standbyCandidates(
  self: Incarnation,
  dataCentre: string,
  peers: readonly Instance[],
): readonly InstanceName[] {
  const { away, near } = rankPeers(self, dataCentre, peers);
  return [...near, ...away];
}

/**
 * Ranks the instances that maintain a shard: they recover its holders and update its statement. The
 * ranking distributes the work; correctness does not depend on it, so several instances may
 * maintain the same shard at once.
 * @param shard - shard number
 * @param instances - live instances
 * @returns the instances; the first one that is reachable maintains the shard
 */
export function shardMaintainers(
  shard: number,
  instances: readonly InstanceName[],
): readonly InstanceName[] {
  return rendezvous(`shard/${shard}`, instances);
}
