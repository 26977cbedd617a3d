/** Finds the route, workspace and service of a request. */
import type { GatewayConfiguration, GatewayRoute, GatewayWorkspace } from './configuration.js';

/** Index of a configuration for lookups by host, path and API key. */
export class RouteTable {
  readonly #byHost = new Map<string, GatewayRoute[]>();

  readonly #byKey = new Map<string, GatewayWorkspace>();

  /**
   * Indexes a configuration.
   * @param configuration - the configuration
   */
  constructor(readonly configuration: GatewayConfiguration) {
    const longestFirst = [...configuration.routes].sort(
      (a, b) => b.pathPrefix.length - a.pathPrefix.length,
    );
    longestFirst.forEach((route) => {
      const routes = this.#byHost.get(route.host);
      if (routes) routes.push(route);
      else this.#byHost.set(route.host, [route]);
    });
    configuration.workspaces?.forEach((workspace) => {
      workspace.keys.forEach((key) => this.#byKey.set(key, workspace));
    });
  }

  /**
   * Finds the route of a request: of the routes that match, the one with the longest path prefix.
   * @param host - host header as sent, with or without a port
   * @param target - path and query as sent
   * @returns the route; undefined if none matches
   */
  route(host: string, target: string): GatewayRoute | undefined {
    const [name = ''] = host.toLowerCase().split(':');
    const [path = ''] = target.split('?', 1);
    return this.#byHost.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /**
   * Finds the workspace of an API key.
   * @param key - key as sent; undefined for none
   * @returns the workspace; undefined for an unknown key
   */
  workspace(key: string | undefined): GatewayWorkspace | undefined {
    return key === undefined ? undefined : this.#byKey.get(key);
  }

  /** Whether requests to routes that are not public must carry an API key. */
  get hasKeys(): boolean {
    return this.configuration.workspaces !== undefined;
  }

  /**
   * Finds a workspace by name.
   * @param name - its name
   * @returns the workspace; undefined if it is not in the configuration
   */
  workspaceNamed(name: string): GatewayWorkspace | undefined {
    return this.configuration.workspaces?.find((workspace) => workspace.name === name);
  }

  /**
   * Chooses the service of a request at random, by the weights of its route.
   * @param route - the route
   * @param draw - random number in [0, 1)
   * @returns name of the service; undefined if no service has a weight above 0
   */
  static service(route: GatewayRoute, draw: number): string | undefined {
    const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
    let left = draw * total;
    return route.shares.find(({ weight }) => {
      left -= weight;
      return left < 0;
    })?.service;
  }
}
