import type { Route } from './Types.js';

/** Finds the route of a request by its host and the longest matching path prefix. */
export class RouteMatcher {
  private readonly byHost = new Map<string, readonly Route[]>();

  public constructor(routes: readonly Route[]) {
    routes.forEach((route) => {
      const others = this.byHost.get(route.host) ?? [];
      this.byHost.set(route.host, [...others, route].sort(longestFirst));
    });
  }

  /** @param host Without a port. @param path With or without a query. */
  public match(host: string, path: string): Route | undefined {
    const [plainPath = ''] = path.split('?', 1);
    return this.byHost.get(host)?.find(({ pathPrefix }) => plainPath.startsWith(pathPrefix));
  }
}

function longestFirst(left: Route, right: Route): number {
  return right.pathPrefix.length - left.pathPrefix.length;
}
