import type * as clockTypes from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import * as ulid from 'ulid';
import * as expiry from './expiry.js';
import * as faults from './faults.js';
import type { CallRequest, FaultResult, ProgramState, RunningCall } from './Types.js';

/** The shard number of a call that belongs to no shard. */
export const NO_SHARD = -1;

/** Interval between two checks whether all calls have ended, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 20;

/** The parameters with which a call is started. */
export interface CallStart {
  readonly request: CallRequest;
  readonly shard: number;
  /** Undefined for a call outside a program. */
  readonly program: ProgramState | undefined;
  /** 0 for a call outside a program. */
  readonly turn: number;
  readonly deadline: clockTypes.Milliseconds;
}

/** A call that has been started, and the controller that aborts it. */
export interface StartedCall {
  readonly call: RunningCall;
  readonly controller: AbortController;
}

/** The properties of a running call that decide whether it is aborted. */
interface CallEntry {
  readonly shard: number;
  readonly isRepeatable: boolean;
}

/** The calls in progress at this home, each with a route, a pool and a deadline. */
export class RunningCalls {
  private readonly calls = new Map<AbortController, CallEntry>();

  public constructor(
    private readonly view: configuration.ConfigurationView,
    private readonly clock: clockTypes.Clock,
  ) {}

  /** Number of calls in progress. */
  public get count(): number {
    return this.calls.size;
  }

  /**
   * Registers a call and starts its deadline. Faults, all not run: `route-unknown`,
   * `budget-exhausted`.
   */
  public start(start: CallStart): FaultResult<StartedCall> {
    const { request, shard, program, turn } = start;
    const current = this.view.current();
    const route = current.routes.get(request.route);
    const pool = route === undefined ? undefined : current.pools.get(route.pool);
    if (route === undefined || pool === undefined || route.kind !== request.call.kind) {
      return trueMyth.Result.err(errors.createFault('route-unknown'));
    }
    const expiresAt = program === undefined ? Infinity : expiry.expiryOf(program);
    if (expiresAt <= this.clock.now()) {
      return trueMyth.Result.err(errors.createFault('budget-exhausted'));
    }
    const deadline = Math.min(start.deadline, expiresAt);
    const controller = this.startController({ shard, isRepeatable: route.repeatable }, deadline);
    const callId = `${request.program ?? 'single'}:${turn}:${ulid.ulid()}`;
    const { signal } = controller;
    const call = { request, callId, shard, route, pool, program, turn, deadline, signal };
    return trueMyth.Result.ok({ call, controller });
  }

  /** Removes a call that has ended. */
  public finish(controller: AbortController): void {
    this.calls.delete(controller);
  }

  /**
   * Aborts the calls of a shard that another process owns now. A call that must not be repeated
   * continues: no other process may run it, and its outcome is reported to the new owner.
   */
  public abortShard(shard: number): void {
    this.calls.forEach((entry, controller) => {
      const continues = entry.shard !== shard || !entry.isRepeatable;
      if (!continues) controller.abort(faults.ABORT_REASONS.SHARD_LOST);
    });
  }

  /** Resolves when no call is in progress, or after the time limit. */
  public async waitUntilIdle(limitMs: clockTypes.Milliseconds): Promise<void> {
    const limit = this.clock.now() + limitMs;
    while (this.calls.size > 0 && this.clock.now() < limit) {
      await this.clock.sleep(DRAIN_CHECK_INTERVAL_MS);
    }
  }

  /** Aborts all calls, so that entries send them to other homes. */
  public abortAll(): void {
    this.calls.forEach((_, controller) => controller.abort(faults.ABORT_REASONS.SHARD_LOST));
  }

  private startController(entry: CallEntry, deadline: clockTypes.Milliseconds): AbortController {
    const controller = new AbortController();
    this.calls.set(controller, entry);
    const timeLeftMs = Math.max(0, deadline - this.clock.now());
    this.clock.sleep(timeLeftMs, controller.signal).then(() => {
      if (this.calls.has(controller)) controller.abort(faults.ABORT_REASONS.DEADLINE);
    });
    return controller;
  }
}
