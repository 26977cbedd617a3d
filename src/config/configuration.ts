/** The configuration in force, indexed for look-ups during requests. */
import type { Documents, Route, UpstreamDocument, Workspace } from './documents.js';
import type { Manifest } from './revision.js';

/** Workspace that a key belongs to, and the budget that its requests are charged to. */
export interface Tenant {
  readonly workspace: Workspace;
  readonly budget: string;
}

/** All documents of one revision, indexed by key digest and by route. */
export class Configuration {
  readonly #tenants = new Map<string, Tenant>();

  readonly #routes = new Map<string, Route>();

  readonly #upstreams = new Map<string, readonly UpstreamDocument[]>();

  /**
   * Indexes a revision.
   * @param manifest - the manifest
   * @param documents - the documents of all its pieces
   */
  constructor(
    readonly manifest: Manifest,
    readonly documents: Documents,
  ) {
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

  /** Revision number. */
  get revision(): number {
    return this.manifest.revision;
  }

  /**
   * Finds the workspace and budget of a key.
   * @param digest - SHA-256 of the key, in hexadecimal
   * @returns the workspace and budget; undefined for an unknown key
   */
  tenant(digest: string): Tenant | undefined {
    return this.#tenants.get(digest);
  }

  /**
   * Finds a route.
   * @param name - route name
   * @returns the route; undefined if none has that name
   */
  route(name: string): Route | undefined {
    return this.#routes.get(name);
  }

  /**
   * Lists the upstreams of a route, including those in the state "leaving".
   * @param route - route name
   * @returns the upstreams
   */
  upstreams(route: string): readonly UpstreamDocument[] {
    return this.#upstreams.get(route) ?? [];
  }
}

/**
 * Concatenates the documents of all pieces, by kind.
 * @param parts - documents of the pieces
 * @returns the documents of the whole revision
 */
export function joinDocuments(parts: readonly Documents[]): Documents {
  return {
    workspaces: parts.flatMap((part) => part.workspaces),
    budgets: parts.flatMap((part) => part.budgets),
    routes: parts.flatMap((part) => part.routes),
    upstreams: parts.flatMap((part) => part.upstreams),
    plans: parts.flatMap((part) => part.plans),
  };
}
