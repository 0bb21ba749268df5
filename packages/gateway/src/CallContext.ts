import type * as clock from '@limpettack/clock';
import * as choosePool from './choosePool.js';
import * as combineHomeRegions from './combineHomeRegions.js';
import * as routeKinds from './RouteKinds.js';
import type { Call, Route, TargetRequest, Workspace } from './Types.js';

/** An admitted request with its route and the values derived from both. */
export class CallContext {
  /** Time by which the request must have ended, on this process's own clock. */
  public readonly deadline: clock.Milliseconds;

  public readonly pool: string;

  /** Ids of the targets that the request was sent to, in order. */
  public readonly targets: string[] = [];

  /** Requests with the same affinity prefer the same target. */
  public readonly affinity: string | undefined;

  /** The regions in which the request may run; undefined if it may run in all. */
  public readonly homeRegions: ReadonlySet<string> | undefined;

  public constructor(
    public readonly call: Call,
    public readonly route: Route,
    public readonly workspace: Workspace | undefined,
  ) {
    const timeoutMs = Math.min(call.timeoutMs ?? route.timeoutMs, route.timeoutMs);
    this.deadline = call.receivedAt + timeoutMs;
    const subject = call.programContext?.program ?? call.affinity;
    this.pool = choosePool.choosePool(route, subject ?? call.id) ?? '';
    const isStream = route.kind === routeKinds.ROUTE_KINDS.STREAM;
    this.homeRegions = combineHomeRegions.combineHomeRegions(route, workspace);
    this.affinity = isStream ? (subject ?? call.id) : this.stickyAffinity();
  }

  /** The request as it is sent to a target. */
  public toRequest(now: clock.Milliseconds, changes: Partial<TargetRequest> = {}): TargetRequest {
    const { call, route, workspace } = this;
    return {
      id: call.id,
      method: call.method,
      host: call.host,
      path: call.path,
      headers: call.headers,
      body: call.body,
      workspace: workspace?.name,
      priority: workspace?.priority ?? route.priority,
      timeLeftMs: Math.max(1, this.deadline - now),
      lastEventId: call.lastEventId,
      mayReuseIdle: route.kind === routeKinds.ROUTE_KINDS.REPEATABLE || route.isResumable,
      route,
      ...changes,
    };
  }

  private stickyAffinity(): string | undefined {
    return this.route.isSticky ? this.call.affinity : undefined;
  }
}
