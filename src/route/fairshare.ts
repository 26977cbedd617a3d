/** Max-min fair shares: which workspaces use more than their share of a saturated route. */

/** Use of one workspace at this daemon. */
export interface WorkspaceDemand {
  readonly workspace: string;
  /** Requests at workers. */
  readonly open: number;
  /** Requests that wait. */
  readonly waiting: number;
}

/**
 * Finds the workspaces that hold at least their max-min fair share and want more.
 * What light workspaces do not ask for is divided between the heavy ones.
 * @param demands - every workspace with open or waiting requests
 * @returns names of the workspaces in excess; none if one is alone
 */
export function workspacesOverShare(demands: readonly WorkspaceDemand[]): ReadonlySet<string> {
  const overShare = new Set<string>();
  if (demands.length < 2) return overShare;
  const sorted = demands.toSorted((a, b) => a.open + a.waiting - b.open - b.waiting);
  let remaining = sorted.reduce((sum, { open }) => sum + open, 0);
  sorted.forEach(({ workspace, open, waiting }, index) => {
    const share = remaining / (sorted.length - index);
    const demand = open + waiting;
    if (demand > share && open >= share) overShare.add(workspace);
    remaining -= Math.min(demand, share);
  });
  return overShare;
}
