/** Which daemons keep units of a workspace ready. */
import { rendezvous } from '../kernel/index.js';

/** A daemon as the fleet knows it. */
export interface HolderCandidate {
  readonly name: string;
  readonly dataCentre: string;
}

/** Daemons that keep units of a workspace ready, seen from one data centre. */
export interface HolderChoice {
  /** Those of the same data centre, the preferred one first. */
  readonly local: readonly string[];
  readonly remote: readonly string[];
}

/**
 * Chooses the holders: all daemons of a small data centre, one of a large one. Every daemon that knows
 * the same fleet finds the same. The others borrow from them: a part for each of many daemons would be
 * too small to serve with, and all of them would write to the store.
 * @param workspace - the workspace
 * @param daemons - the fleet
 * @param dataCentre - data centre of the daemon that looks
 * @param smallDataCentreMax - most daemons of a data centre that counts as small
 * @returns the holders
 */
export function chooseHolders(
  workspace: string,
  daemons: readonly HolderCandidate[],
  dataCentre: string,
  smallDataCentreMax: number,
): HolderChoice {
  const holdersIn = (site: string): readonly string[] => {
    const names = daemons.filter((daemon) => daemon.dataCentre === site).map(({ name }) => name);
    return rendezvous(workspace, names).slice(
      0,
      names.length <= smallDataCentreMax ? names.length : 1,
    );
  };
  const dataCentres = [...new Set(daemons.map((daemon) => daemon.dataCentre))].sort();
  const remoteHolders = dataCentres.filter((place) => place !== dataCentre).flatMap(holdersIn);
  return { local: holdersIn(dataCentre), remote: remoteHolders };
}
