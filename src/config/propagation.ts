/** Who watches the store and who hears of a revision from whom. */
import type { InstanceName } from '../kernel/index.js';
import type { Instance } from '../store/index.js';
import { rendezvous } from '../kernel/index.js';

/** Least number of daemons of a data centre that watch the store. */
const MIN_WATCHERS = 2;

/** Daemons of a data centre for each one that watches the store, so that few ask the same one. */
const DAEMONS_PER_WATCHER = 12;

/** Watchers of its data centre that one daemon asks in turn. */
const LOCAL_SOURCES = 2;

/** Daemons that one daemon tells of a new revision. */
export const FAN_OUT = 2;

/** Key of the order in which the daemons of a data centre stand. */
const RENDEZVOUS_KEY = 'config-watch';

/** Where a daemon stands in its data centre. */
export interface DaemonLocation {
  readonly self: InstanceName;
  readonly dataCentre: string;
}

/** Orders the daemons of a data centre; every one of them finds the same order. */
function rankDaemons(
  { self, dataCentre }: DaemonLocation,
  peers: readonly Instance[],
): readonly string[] {
  const localPeers = peers.filter(
    (peer) => peer.dataCentre === dataCentre && peer.state === 'live',
  );
  return rendezvous(RENDEZVOUS_KEY, [self, ...localPeers.map(({ name }) => name)]);
}

function watcherCount(daemons: number): number {
  return Math.max(MIN_WATCHERS, Math.ceil(daemons / DAEMONS_PER_WATCHER));
}

/**
 * Names the daemons of a data centre that watch the store.
 * @param location - a daemon of the data centre
 * @param peers - the other live instances of the fleet
 * @returns instance names
 */
export function watchersOf(
  location: DaemonLocation,
  peers: readonly Instance[],
): readonly InstanceName[] {
  const ranked = rankDaemons(location, peers);
  return ranked.slice(0, watcherCount(ranked.length));
}

/**
 * Names the daemons that one daemon tells of a new revision: the watchers are the roots
 * of trees that hold the rest of the data centre.
 * @param location - the daemon that has learnt of the revision
 * @param peers - the other live instances of the fleet
 * @returns instance names
 */
export function announcementTargets(
  location: DaemonLocation,
  peers: readonly Instance[],
): readonly InstanceName[] {
  const ranked = rankDaemons(location, peers);
  const start = watcherCount(ranked.length) + ranked.indexOf(location.self) * FAN_OUT;
  return ranked.slice(start, start + FAN_OUT);
}

/**
 * Orders the daemons that one daemon asks for the revision in force: two watchers of its
 * data centre in turn, then one elsewhere.
 * @param location - the daemon that asks
 * @param peers - the other live instances of the fleet
 * @param round - number of the question
 * @returns instance names, the first to ask first
 */
export function revisionSources(
  location: DaemonLocation,
  peers: readonly Instance[],
  round: number,
): readonly InstanceName[] {
  const watchers = watchersOf(location, peers).filter((name) => name !== location.self);
  const localSources = rendezvous(location.self, watchers).slice(0, LOCAL_SOURCES);
  const offset = round % Math.max(1, localSources.length);
  const remotePeers = peers.filter(
    ({ dataCentre, state }) => dataCentre !== location.dataCentre && state === 'live',
  );
  const remoteSource =
    remotePeers[(round + location.self.length) % Math.max(1, remotePeers.length)];
  return [
    ...localSources.slice(offset),
    ...localSources.slice(0, offset),
    ...(remoteSource ? [remoteSource.name] : []),
  ];
}

/**
 * Picks the daemons that a fresh daemon asks during an outage of the store: some of each
 * data centre.
 * @param peers - the other live instances of the fleet
 * @param perDataCentre - daemons of each data centre
 * @returns instance names
 */
export function outagePeers(
  peers: readonly Instance[],
  perDataCentre: number,
): readonly InstanceName[] {
  const live = peers.filter(({ state }) => state === 'live');
  const dataCentres = [...new Set(live.map(({ dataCentre }) => dataCentre))];
  return dataCentres.flatMap((centre) =>
    live
      .filter(({ dataCentre }) => dataCentre === centre)
      .slice(0, perDataCentre)
      .map(({ name }) => name),
  );
}
