/** Regions to which the configuration confines the requests of a route or a workspace. */
import type { GatewayRoute, GatewayWorkspace } from './configuration.js';

/** Region of each data centre. */
export type Regions = Readonly<Record<string, string>>;

/**
 * Decides which regions may serve a request. The homes of its route and of its workspace both bind.
 * @param route - its route
 * @param workspace - its workspace; undefined for a request without one
 * @returns the regions, possibly none; undefined if the request may be served in any region
 */
export function allowedRegions(
  route: Pick<GatewayRoute, 'homes'>,
  workspace: Pick<GatewayWorkspace, 'homes'> | undefined,
): readonly string[] | undefined {
  const ofWorkspace = workspace?.homes ?? [];
  if (route.homes.length === 0) return ofWorkspace.length === 0 ? undefined : ofWorkspace;
  if (ofWorkspace.length === 0) return route.homes;
  return route.homes.filter((region) => ofWorkspace.includes(region));
}

/**
 * Checks whether an upstream may serve a request.
 * @param dataCentre - data centre of the upstream
 * @param allowed - regions that may serve the request; undefined for any
 * @param regions - region of each data centre
 * @returns whether its region is allowed; that of an unknown data centre is not
 */
export function isAllowedIn(
  dataCentre: string,
  allowed: readonly string[] | undefined,
  regions: Regions,
): boolean {
  if (!allowed) return true;
  const region = regions[dataCentre];
  return region !== undefined && allowed.includes(region);
}
