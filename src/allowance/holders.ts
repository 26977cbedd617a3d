/** Chooses the daemons that hold units of a workspace. */
import { rendezvous } from '../kernel/index.js';

/** A registered daemon, which may be chosen as a holder. */
export interface HolderCandidate {
  readonly name: string;
  readonly dataCentre: string;
}

/** Holders of a workspace, grouped relative to one data centre. */
export interface HolderChoice {
  /** Holders in the same data centre, in the order of rendezvous hashing. */
  readonly local: readonly string[];
  readonly remote: readonly string[];
}

/**
 * Chooses the holders of a workspace: every daemon of a small data centre, one daemon of a large
 * one. The choice is deterministic, so daemons that see the same fleet choose the same holders. All
 * other daemons borrow from the holders: split among many daemons, each share would be too small to
 * serve requests, and every daemon would write to the store.
 * @param workspace - workspace name
 * @param daemons - all registered daemons
 * @param dataCentre - data centre of the calling daemon
 * @param smallDataCentreMax - maximum number of daemons in a data centre where all of them are
 * holders
 * @returns the holders, grouped by data centre
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
