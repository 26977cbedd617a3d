/** Who watches the store and who hears of a revision from whom. */
import type { InstanceName } from '../kernel/index.js';
import type { Instance } from '../store/index.js';
import { rendezvous } from '../kernel/index.js';

/** Least number of daemons of a data centre that watch the store. */
const MIN_WATCHERS = 2;

/** Daemons of a data centre for each one that watches the store, so that few ask the same one. */
const DAEMONS_PER_WATCHER = 12;

/** Watchers of its data centre that one daemon asks in turn. */
const SOURCES = 2;

/** Daemons that one daemon tells of a new revision. */
export const FAN_OUT = 2;

/** Key of the order in which the daemons of a data centre stand. */
const ORDER_KEY = 'config-watch';

/** Where a daemon stands in its data centre. */
export interface SpreadPlace {
  readonly self: InstanceName;
  readonly dataCentre: string;
}

/** Orders the daemons of a data centre; every one of them finds the same order. */
function orderOf({ self, dataCentre }: SpreadPlace, peers: readonly Instance[]): readonly string[] {
  const near = peers.filter((peer) => peer.dataCentre === dataCentre && peer.state === 'live');
  return rendezvous(ORDER_KEY, [self, ...near.map(({ name }) => name)]);
}

function watcherCount(daemons: number): number {
  return Math.max(MIN_WATCHERS, Math.ceil(daemons / DAEMONS_PER_WATCHER));
}

/**
 * Names the daemons of a data centre that watch the store.
 * @param place - a daemon of the data centre
 * @param peers - the other live instances of the fleet
 * @returns instance names
 */
export function watchersOf(
  place: SpreadPlace,
  peers: readonly Instance[],
): readonly InstanceName[] {
  const order = orderOf(place, peers);
  return order.slice(0, watcherCount(order.length));
}

/**
 * Names the daemons that one daemon tells of a new revision: the watchers are the roots
 * of trees that hold the rest of the data centre.
 * @param place - the daemon that has learnt of the revision
 * @param peers - the other live instances of the fleet
 * @returns instance names
 */
export function listenersOf(
  place: SpreadPlace,
  peers: readonly Instance[],
): readonly InstanceName[] {
  const order = orderOf(place, peers);
  const first = watcherCount(order.length) + order.indexOf(place.self) * FAN_OUT;
  return order.slice(first, first + FAN_OUT);
}

/**
 * Orders the daemons that one daemon asks for the revision in force: two watchers of its
 * data centre in turn, then one elsewhere.
 * @param place - the daemon that asks
 * @param peers - the other live instances of the fleet
 * @param round - number of the question
 * @returns instance names, the first to ask first
 */
export function sourcesOf(
  place: SpreadPlace,
  peers: readonly Instance[],
  round: number,
): readonly InstanceName[] {
  const watchers = watchersOf(place, peers).filter((name) => name !== place.self);
  const near = rendezvous(place.self, watchers).slice(0, SOURCES);
  const turn = round % Math.max(1, near.length);
  const away = peers.filter(
    ({ dataCentre, state }) => dataCentre !== place.dataCentre && state === 'live',
  );
  const other = away[(round + place.self.length) % Math.max(1, away.length)];
  return [...near.slice(turn), ...near.slice(0, turn), ...(other ? [other.name] : [])];
}

/**
 * Picks the daemons that a fresh daemon asks during an outage of the store: some of each
 * data centre.
 * @param peers - the other live instances of the fleet
 * @param each - daemons of each data centre
 * @returns instance names
 */
export function elders(peers: readonly Instance[], each: number): readonly InstanceName[] {
  const live = peers.filter(({ state }) => state === 'live');
  const centres = [...new Set(live.map(({ dataCentre }) => dataCentre))];
  return centres.flatMap((centre) =>
    live
      .filter(({ dataCentre }) => dataCentre === centre)
      .slice(0, each)
      .map(({ name }) => name),
  );
}
