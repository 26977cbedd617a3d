/**
 * Chooses the daemons that hold units of a workspace.
 *
 * Answers the load of a fleet in which each daemon sees a fraction of the traffic: a daemon that is no holder asks one
 * for nearly every request, so the holders of all workspaces are few daemons of each data centre, the ones with the
 * most processor capacity, and each daemon keeps links to these few.
 */
import { rendezvous } from '../kernel/index.js';

/** A registered daemon, which may be chosen as a holder. */
export interface HolderCandidate {
  readonly name: string;
  readonly dataCentre: string;
  /** Processor capacity of its instance, in cores; 1 if it is not known. */
  readonly cores: number;
}

/** Holders of a workspace, grouped relative to one data centre. */
export interface HolderChoice {
  /** Holders in the same data centre, in the order of rendezvous hashing. */
  readonly local: readonly string[];
  readonly remote: readonly string[];
}

/**
 * Daemons of a data centre for each daemon there that may be a holder. A holder then serves the loans of about this many
 * daemons, whatever the size of the fleet.
 */
const DAEMONS_PER_HOLDER = 16;

/** Key that ranks the daemons of a data centre with equal capacity, one order for all workspaces. */
const GROUP_KEY = 'holders';

/** Daemons of one data centre that may be holders. */
interface HolderGroup {
  readonly names: readonly string[];
  /** Whether each of them is a holder of every workspace; otherwise each workspace has one of them. */
  readonly isWhole: boolean;
}

/** Daemons that may be holders, by data centre. */
export type HolderGroups = ReadonlyMap<string, HolderGroup>;

/** Chooses the daemons of a large data centre that may be holders of any workspace: those with the most capacity. */
function strongest(daemons: readonly HolderCandidate[]): readonly string[] {
  const order = rendezvous(
    GROUP_KEY,
    daemons.map(({ name }) => name),
  );
  const rank = new Map(order.map((name, index) => [name, index]));
  return [...daemons]
    .sort((a, b) => b.cores - a.cores || (rank.get(a.name) ?? 0) - (rank.get(b.name) ?? 0))
    .slice(0, Math.ceil(daemons.length / DAEMONS_PER_HOLDER))
    .map(({ name }) => name);
}

/**
 * Chooses the daemons that may be holders: every daemon of a small data centre, few daemons of a large one. The choice is
 * deterministic, so daemons that see the same fleet choose the same ones.
 * @param daemons - all registered daemons
 * @param smallDataCentreMax - maximum number of daemons in a data centre where all of them are holders
 * @returns the daemons that may be holders, by data centre
 */
export function groupHolders(
  daemons: readonly HolderCandidate[],
  smallDataCentreMax: number,
): HolderGroups {
  const places = [...new Set(daemons.map(({ dataCentre }) => dataCentre))].sort();
  return new Map(
    places.map((place) => {
      const local = daemons.filter(({ dataCentre }) => dataCentre === place);
      const isWhole = local.length <= smallDataCentreMax;
      const names = isWhole ? local.map(({ name }) => name) : strongest(local);
      return [place, { names, isWhole }];
    }),
  );
}

/**
 * Chooses the holders of a workspace: every daemon of a small data centre, one daemon of a large
 * one. All other daemons borrow from the holders: split among many daemons, each share would be too small to
 * serve requests, and every daemon would write to the store.
 * @param workspace - workspace name
 * @param groups - daemons that may be holders
 * @param dataCentre - data centre of the calling daemon
 * @returns the holders, grouped relative to this data centre
 */
export function chooseHolders(
  workspace: string,
  groups: HolderGroups,
  dataCentre: string,
): HolderChoice {
  const holdersIn = (group: HolderGroup | undefined): readonly string[] => {
    const order = rendezvous(workspace, group?.names ?? []);
    return group?.isWhole ? order : order.slice(0, 1);
  };
  const remote = [...groups].filter(([place]) => place !== dataCentre);
  return {
    local: holdersIn(groups.get(dataCentre)),
    remote: remote.flatMap(([, group]) => holdersIn(group)),
  };
}
