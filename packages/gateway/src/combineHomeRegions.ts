import type { Route, Workspace } from './Types.js';

/**
 * The regions in which a request may run, from its route and its workspace. A region must be in
 * both lists if both name regions, so the result may be empty. Undefined if neither names any.
 */
export function combineHomeRegions(
  route: Pick<Route, 'homeRegions'>,
  workspace: Pick<Workspace, 'homeRegions'> | undefined,
): ReadonlySet<string> | undefined {
  const [first, ...others] = [route.homeRegions ?? [], workspace?.homeRegions ?? []].filter(
    (regions) => regions.length > 0,
  );
  if (first === undefined) return undefined;
  return new Set(first.filter((region) => others.every((regions) => regions.includes(region))));
}
