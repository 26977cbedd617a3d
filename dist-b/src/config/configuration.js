/** One revision, whole. */
export class Configuration {
    manifest;
    documents;
    #tenants = new Map();
    #routes = new Map();
    #upstreams = new Map();
    /**
     * Indexes a revision.
     * @param manifest - the manifest
     * @param documents - the documents of all its pieces together
     */
    constructor(manifest, documents) {
        this.manifest = manifest;
        this.documents = documents;
        documents.workspaces.forEach((workspace) => {
            workspace.keys.forEach(({ sha256, budget }) => {
                this.#tenants.set(sha256, { workspace, budget });
            });
        });
        documents.routes.forEach((route) => {
            this.#routes.set(route.name, route);
            const upstreams = documents.upstreams.filter((upstream) => upstream.route === route.name);
            this.#upstreams.set(route.name, upstreams);
        });
    }
    /** Number of the revision. */
    get revision() {
        return this.manifest.revision;
    }
    /**
     * Finds the owner of a key.
     * @param digest - SHA-256 of the key
     * @returns the workspace and budget; undefined for an unknown key
     */
    tenant(digest) {
        return this.#tenants.get(digest);
    }
    /**
     * Finds a route.
     * @param name - route name
     * @returns the route; undefined if none has that name
     */
    route(name) {
        return this.#routes.get(name);
    }
    /**
     * Lists the upstreams of a route, the leaving ones among them.
     * @param route - route name
     * @returns the upstreams
     */
    upstreams(route) {
        return this.#upstreams.get(route) ?? [];
    }
}
/**
 * Joins the documents of all pieces.
 * @param parts - documents of the pieces
 * @returns the documents of the whole revision
 */
export function joinDocuments(parts) {
    return {
        workspaces: parts.flatMap((part) => part.workspaces),
        budgets: parts.flatMap((part) => part.budgets),
        routes: parts.flatMap((part) => part.routes),
        upstreams: parts.flatMap((part) => part.upstreams),
        plans: parts.flatMap((part) => part.plans),
    };
}
//# sourceMappingURL=configuration.js.map