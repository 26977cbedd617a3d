/**
 * Lists the workspaces of a configuration.
 * @param documents - documents in force
 * @returns a line for each workspace
 */
export function viewWorkspaces(documents) {
    const counts = new Map();
    documents.budgets.forEach(({ workspace }) => {
        counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    });
    return documents.workspaces.map((workspace) => ({
        name: workspace.name,
        state: workspace.state,
        keys: workspace.keys.length,
        budgets: counts.get(workspace.name) ?? 0,
        concurrency: workspace.concurrency ?? 0,
        requestsPerSecond: workspace.requestsPerSecond ?? 0,
    }));
}
//# sourceMappingURL=views.js.map