/** Selects the daemons that watch the store, and those that receive or answer for a revision. */
import type { InstanceName } from '../kernel/index.js';
import type { Instance } from '../store/index.js';
import { rendezvous } from '../kernel/index.js';

/** Minimum number of daemons in each data centre that watch the store. */
const MIN_WATCHERS = 2;

/** Daemons per watcher of a data centre; limits how many daemons poll the same watcher. */
const DAEMONS_PER_WATCHER = 12;

/** Number of watchers in its own data centre that a daemon polls in turn. */
const LOCAL_SOURCES = 2;

/** Number of daemons to which each daemon announces a new revision. */
export const FAN_OUT = 2;

/** Rendezvous hashing key that ranks the daemons of a data centre. */
const RENDEZVOUS_KEY = 'config-watch';

/** A daemon and its data centre. */
export interface DaemonLocation {
  readonly self: InstanceName;
  readonly dataCentre: string;
}

/** Ranks the live daemons of a data centre; equal instance lists give the same ranking. */
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
 * Returns the daemons of a data centre that watch the store.
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
 * Returns the daemons to which a daemon announces a new revision. The watchers are the roots of
 * trees that contain all other daemons of the data centre.
 * @param location - the daemon that has applied the revision
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
 * Returns the daemons that a daemon polls for the revision in force: two watchers of its data
 * centre, rotated by round, then one daemon of another data centre.
 * @param location - the polling daemon
 * @param peers - the other live instances of the fleet
 * @param round - number of the polling round
 * @returns instance names, in the order in which to poll them
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
 * Returns the peers that a daemon without a configuration asks for their revision while the store
 * does not answer: some of each data centre.
 * @param peers - the other live instances of the fleet
 * @param perDataCentre - maximum number of daemons of each data centre
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
