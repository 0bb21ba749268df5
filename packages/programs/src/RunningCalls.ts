import type * as clockTypes from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import * as ulid from 'ulid';
import * as expiry from './expiry.js';
import * as faults from './faults.js';
import type { CallRequest, Outcome, ProgramState, RunningCall } from './Types.js';

/** The shard of a call that belongs to none. */
export const NO_SHARD = -1;

/** Where a call stands before it runs. */
export interface CallStart {
  readonly request: CallRequest;
  readonly shard: number;
  /** Nothing for a call outside a program. */
  readonly program: ProgramState | undefined;
  /** 0 for a call outside a program. */
  readonly turn: number;
  readonly deadline: clockTypes.Milliseconds;
}

/** A call that has been started, and what aborts it. */
export interface StartedCall {
  readonly call: RunningCall;
  readonly controller: AbortController;
}

/** The calls that this home runs: each has a route, a pool and a bound to its time. */
export class RunningCalls {
  /** The shard of each call. */
  private readonly shards = new Map<AbortController, number>();

  public constructor(
    private readonly view: configuration.ConfigurationView,
    private readonly clock: clockTypes.Clock,
  ) {}

  /** How many calls run now. */
  public get count(): number {
    return this.shards.size;
  }

  /** Starts a call. Faults, all not run: `route-unknown`, `budget-exhausted`. */
  public start(start: CallStart): Outcome<StartedCall> {
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
    const controller = this.startController(shard, deadline);
    const callId = `${request.program ?? 'single'}:${turn}:${ulid.ulid()}`;
    const { signal } = controller;
    const call = { request, callId, shard, route, pool, program, turn, deadline, signal };
    return trueMyth.Result.ok({ call, controller });
  }

  /** Notes that a call has ended. */
  public finish(controller: AbortController): void {
    this.shards.delete(controller);
  }

  /** Aborts what runs for a shard that another process owns now. */
  public abortShard(shard: number): void {
    this.shards.forEach((owner, controller) => {
      if (owner === shard) controller.abort(faults.ABORT_REASONS.SHARD_LOST);
    });
  }

  /** Aborts all calls, so that entries take them to other homes. */
  public abortAll(): void {
    this.shards.forEach((_, controller) => controller.abort(faults.ABORT_REASONS.SHARD_LOST));
  }

  private startController(shard: number, deadline: clockTypes.Milliseconds): AbortController {
    const controller = new AbortController();
    this.shards.set(controller, shard);
    const span = Math.max(0, deadline - this.clock.now());
    this.clock.sleep(span, controller.signal).then(() => {
      if (this.shards.has(controller)) controller.abort(faults.ABORT_REASONS.DEADLINE);
    });
    return controller;
  }
}
