import type * as clock from '@limpettack/clock';

/** Weight of the latest response in the smoothed response time. */
const SMOOTHING = 0.1;

/** Maximum number of routes. Routes come and go with the tables, so the oldest ones are evicted. */
const MAXIMUM_ROUTES = 256;

/** The smoothed response times of routes, by this process's own requests. */
export class RouteTimes {
  private readonly smoothedMs = new Map<string, clock.Milliseconds>();

  /**
   * Records a response time and returns its ratio to the smoothed response time of the route before
   * it. Undefined for the first response of a route.
   */
  public record(route: string, durationMs: clock.Milliseconds): number | undefined {
    const previous = this.smoothedMs.get(route);
    if (previous === undefined && this.smoothedMs.size >= MAXIMUM_ROUTES) this.evictOldest();
    const base = previous ?? durationMs;
    this.smoothedMs.set(route, base + SMOOTHING * (durationMs - base));
    return previous === undefined || previous <= 0 ? undefined : durationMs / previous;
  }

  private evictOldest(): void {
    const [oldest] = this.smoothedMs.keys();
    if (oldest !== undefined) this.smoothedMs.delete(oldest);
  }
}
