/** Max-min fairness: finds workspaces that use more than their fair share of a saturated route. */

/** Open and waiting requests of one workspace at this daemon. */
export interface WorkspaceDemand {
  readonly workspace: string;
  /** Requests dispatched to workers and not yet ended. */
  readonly open: number;
  /** Requests in the queue. */
  readonly waiting: number;
}

/**
 * Finds the workspaces that use at least their max-min fair share and demand more.
 * Capacity that light workspaces do not demand is divided between the heavy ones.
 * @param demands - every workspace with open or waiting requests
 * @returns names of the workspaces over their share; empty with fewer than two workspaces
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
