/** Which daemon backs up another, and which one looks after a shard. */
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
 * Orders the candidates for a backup: other data centres come first.
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
 * Orders the candidates for a standby: the same data centre comes first.
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
 * Orders the instances that look after a shard: recover its holders and fold its statement.
 * The order spreads the work; several that believe to be first do no harm.
 * @param shard - shard number
 * @param instances - live instances
 * @returns the instances, the first in charge
 */
export function shardMaintainers(
  shard: number,
  instances: readonly InstanceName[],
): readonly InstanceName[] {
  return rendezvous(`shard/${shard}`, instances);
}
