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

/** How often the end of all calls is looked for, in milliseconds. */
const DRAIN_CHECK_MS = 20;

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

/** What is known of a running call. */
interface Owned {
  readonly shard: number;
  readonly isRepeatable: boolean;
}

/** The calls that this home runs: each has a route, a pool and a bound to its time. */
export class RunningCalls {
  private readonly calls = new Map<AbortController, Owned>();

  public constructor(
    private readonly view: configuration.ConfigurationView,
    private readonly clock: clockTypes.Clock,
  ) {}

  /** How many calls run now. */
  public get count(): number {
    return this.calls.size;
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
    const controller = this.startController({ shard, isRepeatable: route.repeatable }, deadline);
    const callId = `${request.program ?? 'single'}:${turn}:${ulid.ulid()}`;
    const { signal } = controller;
    const call = { request, callId, shard, route, pool, program, turn, deadline, signal };
    return trueMyth.Result.ok({ call, controller });
  }

  /** Notes that a call has ended. */
  public finish(controller: AbortController): void {
    this.calls.delete(controller);
  }

  /**
   * Aborts what runs for a shard that another process owns now. A call that must not be repeated
   * goes on: nobody else may run it, and its outcome is told to the new owner.
   */
  public abortShard(shard: number): void {
    this.calls.forEach((owned, controller) => {
      const goesOn = owned.shard !== shard || !owned.isRepeatable;
      if (!goesOn) controller.abort(faults.ABORT_REASONS.SHARD_LOST);
    });
  }

  /** Resolves when no call runs any more, or when the time is up. */
  public async untilNone(limitMs: clockTypes.Milliseconds): Promise<void> {
    const limit = this.clock.now() + limitMs;
    while (this.calls.size > 0 && this.clock.now() < limit) {
      await this.clock.sleep(DRAIN_CHECK_MS);
    }
  }

  /** Aborts all calls, so that entries take them to other homes. */
  public abortAll(): void {
    this.calls.forEach((_, controller) => controller.abort(faults.ABORT_REASONS.SHARD_LOST));
  }

  private startController(owned: Owned, deadline: clockTypes.Milliseconds): AbortController {
    const controller = new AbortController();
    this.calls.set(controller, owned);
    const span = Math.max(0, deadline - this.clock.now());
    this.clock.sleep(span, controller.signal).then(() => {
      if (this.calls.has(controller)) controller.abort(faults.ABORT_REASONS.DEADLINE);
    });
    return controller;
  }
}
