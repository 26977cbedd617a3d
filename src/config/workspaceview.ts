/** Operators' view of the workspaces of a configuration. */
import type { Documents } from './documents.js';

/** A workspace as shown to operators. */
export interface WorkspaceView {
  readonly name: string;
  readonly state: string;
  readonly keys: number;
  readonly budgets: number;
  /** Maximum number of concurrent requests; 0 for no limit. */
  readonly concurrency: number;
  /** Maximum number of requests per second; 0 for no limit. */
  readonly requestsPerSecond: number;
}

/**
 * Lists the workspaces of a configuration.
 * @param documents - documents in force
 * @returns one view for each workspace
 */
export function workspaceViews(documents: Documents): readonly WorkspaceView[] {
  const budgetCounts = new Map<string, number>();
  documents.budgets.forEach(({ workspace }) => {
    budgetCounts.set(workspace, (budgetCounts.get(workspace) ?? 0) + 1);
  });
  return documents.workspaces.map((workspace) => ({
    name: workspace.name,
    state: workspace.state,
    keys: workspace.keys.length,
    budgets: budgetCounts.get(workspace.name) ?? 0,
    concurrency: workspace.concurrency ?? 0,
    requestsPerSecond: workspace.requestsPerSecond ?? 0,
  }));
}
