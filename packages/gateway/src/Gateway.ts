import type * as unreplicatedLimits from '@limpettack/unreplicated-limits';
import * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as metrics from '@limpettack/metrics';
import type * as programBudgets from '@limpettack/program-budgets';
import type * as turns from '@limpettack/turns';
import * as trueMyth from 'true-myth';
import * as admitCaller from './admitCaller.js';
import * as callContext from './CallContext.js';
import * as excludedPoolFault from './excludedPoolFault.js';
import * as observedReply from './ObservedReply.js';
import * as processEnd from './ProcessEnd.js';
import * as recordMemory from './recordMemory.js';
import * as routeKinds from './RouteKinds.js';
import * as streamCall from './StreamCall.js';
import type * as currentTables from './CurrentTables.js';
import * as waitBounds from './waitBounds.js';
import * as waitWhileConnected from './waitWhileConnected.js';
import * as unaryCall from './UnaryCall.js';
import type { Call, Reply, Route } from './Types.js';

/** The grant of calls without a budget. */
const NO_BUDGET: trueMyth.Result<programBudgets.Grant, errors.Fault> = trueMyth.Result.ok({
  isCovered: true,
});

/** The outcome used to settle a turn that was not sent to a target. */
const NOTHING_SENT: streamCall.StreamOutcome = {
  tokens: 0,
  isComplete: false,
  isKept: false,
};

/** Share of a request's remaining time that it may wait for its workspace's rate limit. */
const LIMIT_WAIT_SHARE = 0.3;

/** Minimum interval between two checks of whether the log covers a reservation. */
const COVER_INTERVAL_MS = 100;

/** Dependencies of the gateway. */
export interface GatewayDependencies
  extends streamCall.StreamCallDependencies, unaryCall.UnaryCallDependencies {
  readonly tables: currentTables.CurrentTables;
  /** Opens when this process knows the tables, the targets and its peers. */
  readonly started: Pick<lifetime.Latch, 'isOpen' | 'opened'>;
  readonly allowances: Pick<unreplicatedLimits.AllowanceClient, 'admit'>;
  readonly budgets: programBudgets.ProgramBudgets;
  readonly turnMemory: turns.TurnMemory;
  readonly logger: logging.Logger;
  readonly metrics: metrics.Metrics;
}

/** What the plan of a stream call depends on besides its request. */
interface Preparation {
  readonly budgetRecorded: Promise<boolean> | undefined;
  readonly readyBy: clock.Milliseconds;
  /** The memory that the turn takes until it has ended. */
  readonly memory: turns.MemoryReservation;
}

/** Route name in metrics and logs for requests that the tables do not allow. */
const NO_ROUTE = '';

/** Handles requests: checks access and limits, sends them to targets and returns the responses. */
export class Gateway {
  private inFlight = 0;

  public constructor(private readonly dependencies: GatewayDependencies) {}

  /** Number of requests in progress. */
  public get running(): number {
    return this.inFlight;
  }

  /** Handles a request until its response has ended. */
  public async handle(call: Call, reply: Reply): Promise<void> {
    this.inFlight += 1;
    let context: callContext.CallContext | undefined;
    // Ends the response of a request that still waits. `UnaryCall` and `StreamCall` end the others.
    const ending = this.dependencies.processEnd.onEnd(() => {
      if (context === undefined || context.targets.length === 0)
        reply.refuse(processEnd.shuttingDownFault());
    });
    const isStarted = await this.awaitStart(call);
    const admitted = isStarted
      ? admitCaller.admitCaller(this.dependencies.tables, call)
      : trueMyth.Result.err<admitCaller.AdmittedCall, errors.Fault>(
          errors.createFault('not-ready'),
        );
    const route = admitted.isOk ? admitted.value.route.name : NO_ROUTE;
    const observed = new observedReply.ObservedReply(reply, () =>
      this.dependencies.metrics.observeFirstToken(route, this.age(call)),
    );
    try {
      if (admitted.isErr) {
        observed.refuse(admitted.error);
        this.recordEnd(call, route, observed.result, undefined);
        return;
      }
      const { workspace } = admitted.value;
      context = new callContext.CallContext(call, admitted.value.route, workspace);
      await this.serve(context, observed);
      this.recordEnd(call, route, observed.result, context);
    } finally {
      ending.dispose();
      this.inFlight -= 1;
    }
  }

  /**
   * Waits until this process has started, and returns whether it has. After all VMs have started at
   * once, a refused caller would find no other VM that serves it.
   */
  private async awaitStart(call: Call): Promise<boolean> {
    const { clock: time, logger, started } = this.dependencies;
    if (started.isOpen) return true;
    const startedAt = time.now();
    const deadline = call.receivedAt + (call.timeoutMs ?? 0);
    const waitMs = waitBounds.preparationDeadline(startedAt, deadline) - startedAt;
    await waitWhileConnected.waitWhileConnected(time, waitMs, call.signal, started.opened);
    logger.info('A request has waited for the start of the process.', {
      request: call.id,
      kind: started.isOpen ? 'started' : 'starting',
      spanMs: Math.round(time.now() - startedAt),
    });
    return started.isOpen;
  }

  private async serve(context: callContext.CallContext, reply: Reply): Promise<void> {
    const { call, deadline, route } = context;
    if (!this.dependencies.crashes.admit(context)) {
      reply.refuse(errors.createFault('request-quarantined'));
      return;
    }
    if (this.dependencies.clock.now() >= deadline) {
      refuse(call, reply, waitBounds.deadlinePassedFault());
      return;
    }
    // Checked before the request takes part of its workspace's limit and its program's budget.
    if (this.dependencies.selector.excludesPool(context.pool, context.homeRegions)) {
      refuse(call, reply, excludedPoolFault.excludedPoolFault());
      return;
    }
    const isStream = route.kind === routeKinds.ROUTE_KINDS.STREAM;
    const unstorable = isStream && route.retainsTurns ? this.checkRecord(call) : undefined;
    if (unstorable !== undefined) {
      refuse(call, reply, unstorable);
      return;
    }
    const readyBy = waitBounds.preparationDeadline(this.dependencies.clock.now(), deadline);
    // The rate limit and the budget may be owned by two other VMs, so both are requested in
    // parallel.
    const reserving = isStream ? this.reserve(context, readyBy) : Promise.resolve(NO_BUDGET);
    const refusal = await this.checkLimit(context);
    if (refusal !== undefined || call.signal.aborted) {
      // The request ends without waiting for the home, the VM that owns the program's partition. If
      // the home grants the reservation later, it is released unused.
      this.handleLate(call, reserving, (late) => this.releaseReservation(call, late));
      if (refusal !== undefined) refuse(call, reply, refusal);
      return;
    }
    const grant = await reserving;
    if (!isStream) await new unaryCall.UnaryCall(this.dependencies, context, reply).run();
    else if (grant.isErr) refuse(call, reply, grant.error);
    else await this.runStream(context, grant.value, reply, readyBy);
  }

  /**
   * Returns a fault if the record of a turn could not be stored, or finds no memory until then. The
   * memory is reserved only after the waits for limit and budget.
   */
  private checkRecord(call: Call): errors.Fault | undefined {
    const { turnMemory, turns: store } = this.dependencies;
    if (!store.admit()) return recordMemory.fullLogFault();
    const memory = turnMemory.open();
    const hasMemory = memory.reserve(recordMemory.recordBytes(call));
    memory.dispose();
    return hasMemory ? undefined : recordMemory.noMemoryFault();
  }

  /** Charges a request to its workspace's rate limit. Returns a fault if the limit is exceeded. */
  private async checkLimit(context: callContext.CallContext): Promise<errors.Fault | undefined> {
    const { call, deadline, workspace } = context;
    if (workspace === undefined) return undefined;
    const admission = await this.dependencies.allowances.admit({
      workspace: workspace.name,
      program: call.programContext?.program,
      // Tool calls and turns that continue another turn belong to programs already running.
      mayStartProgram:
        call.programContext?.budgetTokens !== undefined &&
        call.programContext.previousTurn === undefined,
      maximumWaitMs: LIMIT_WAIT_SHARE * (deadline - this.dependencies.clock.now()),
    });
    const outcome = admission.isAdmitted ? 'admitted' : 'refused';
    this.dependencies.metrics.countAdmission(workspace.name, outcome);
    if (admission.isAdmitted) return undefined;
    const { retryAfterMs } = admission;
    return errors.createFault('rate-limited', undefined, { retryAfterMs });
  }

  private async runStream(
    context: callContext.CallContext,
    grant: programBudgets.Grant,
    reply: Reply,
    readyBy: clock.Milliseconds,
  ): Promise<void> {
    const { call } = context;
    const ending = new AbortController();
    const budgetRecorded = grant.isCovered
      ? undefined
      : this.awaitBudgetRecord(context, ending.signal);
    const memory = this.dependencies.turnMemory.open();
    const plan = await this.createPlan(context, grant, { budgetRecorded, readyBy, memory });
    let outcome = NOTHING_SENT;
    if (plan.isOk)
      outcome = await new streamCall.StreamCall(
        this.dependencies,
        context,
        plan.value,
        reply,
      ).run();
    else memory.dispose();
    ending.abort();
    this.settle(call, outcome);
    // The tokens are released before the refusal is sent, because the caller may retry at once.
    if (plan.isErr) refuse(call, reply, plan.error);
    // A `cover` request that was in flight may have made the home reserve the tokens again. They
    // are released when that request has ended.
    if (budgetRecorded !== undefined)
      this.handleLate(call, budgetRecorded, () => this.settle(call, outcome));
  }

  /**
   * Calls `onValue` with the result of an operation that the request no longer waits for. Logs a
   * failure of the operation.
   */
  private async handleLate<Value>(
    { id }: Call,
    late: Promise<Value>,
    onValue: (value: Value) => void,
  ): Promise<void> {
    try {
      onValue(await late);
    } catch (error) {
      const { logger } = this.dependencies;
      logger.error('An operation that a request no longer waits for has failed.', {
        request: id,
        reason: String(error),
      });
    }
  }

  private async reserve(
    { call, route }: callContext.CallContext,
    readyBy: clock.Milliseconds,
  ): Promise<trueMyth.Result<programBudgets.Grant, errors.Fault>> {
    const { budgets, clock: time } = this.dependencies;
    const reservation = reservationOf(call, route);
    if (reservation === undefined) return NO_BUDGET;
    const reserving = budgets.reserve(reservation, readyBy - time.now());
    return this.waitFor(call, waitBounds.WAITS.BUDGET, readyBy, reserving, (late) =>
      this.releaseReservation(call, late),
    );
  }

  /** Settles the reservation of a turn that was not sent, if it was granted. */
  private releaseReservation(
    call: Call,
    granted: trueMyth.Result<programBudgets.Grant, errors.Fault>,
  ): void {
    if (granted.isOk) this.settle(call, NOTHING_SENT);
  }

  /** Waits until the log covers the turn's reservation. Returns false if the turn ends earlier. */
  private async awaitBudgetRecord(
    { call, route }: callContext.CallContext,
    ending: AbortSignal,
  ): Promise<boolean> {
    const { budgets, clock: time, logger } = this.dependencies;
    const reservation = reservationOf(call, route);
    logger.info('A response waits until its budget is recorded.', { request: call.id });
    while (reservation !== undefined && !ending.aborted) {
      const startedAt = time.now();
      if (await budgets.cover(reservation)) return true;
      const pause = COVER_INTERVAL_MS - (time.now() - startedAt);
      if (pause > 0) await time.sleep(pause, ending);
    }
    return false;
  }

  private settle(call: Call, outcome: streamCall.StreamOutcome): void {
    const { programContext } = call;
    if (programContext?.budgetTokens === undefined) return;
    const { isKept, tokens } = outcome;
    this.dependencies.budgets.settle({
      program: programContext.program,
      call: call.id,
      tokens,
      isKept,
    });
  }

  private async recordUsage(
    { id, programContext }: Call,
    tokens: number,
    timeoutMs: clock.Milliseconds,
  ): Promise<boolean> {
    if (programContext?.budgetTokens === undefined) return true;
    const settlement = { program: programContext.program, call: id, tokens, isKept: true };
    return this.dependencies.budgets.settleRetained(settlement, timeoutMs);
  }

  /**
   * Prepares the stream call. If the turn continues a retained turn, prepends the history to its
   * input.
   */
  private async createPlan(
    context: callContext.CallContext,
    grant: programBudgets.Grant,
    { budgetRecorded, memory, readyBy }: Preparation,
  ): Promise<trueMyth.Result<streamCall.StreamPlan, errors.Fault>> {
    const { call, deadline, pool, route, workspace } = context;
    const tokensPerEvent = this.dependencies.tables.current?.pools.get(pool)?.tokensPerEvent ?? 1;
    const previous = route.retainsTurns ? call.programContext?.previousTurn : undefined;
    if (route.retainsTurns && !memory.reserve(recordMemory.recordBytes(call)))
      return trueMyth.Result.err(recordMemory.noMemoryFault());
    const recordUsage = (tokens: number, timeoutMs: number): Promise<boolean> =>
      this.recordUsage(call, tokens, timeoutMs);
    const { uncoveredTokens } = grant;
    const onHeld = (): void => this.dependencies.metrics.countHeldTurn();
    const shared = { tokensPerEvent, budgetRecorded, uncoveredTokens, onHeld, recordUsage, memory };
    if (previous === undefined) return trueMyth.Result.ok({ body: call.body, ...shared });
    const hints = {
      writer: grant.writer,
      retentionMs: route.retentionMs,
      mostRunMs: deadline - this.dependencies.clock.now(),
    };
    const reading = this.dependencies.turns.history(previous, workspace?.name ?? '', hints);
    // The lookup continues after a timeout, so that the caller's next attempt finds what has been
    // read by then.
    const history = await this.waitFor(call, waitBounds.WAITS.HISTORY, readyBy, reading);
    return history.andThen(({ contents, turns: earlier }) => {
      const parts = [...contents, call.body];
      if (!memory.reserve(parts.reduce((sum, { length }) => sum + length, 0)))
        return trueMyth.Result.err(recordMemory.noMemoryFault());
      return trueMyth.Result.ok({ body: Buffer.concat(parts), earlier, ...shared });
    });
  }

  /**
   * Waits for an operation that must finish before the request is sent to a target. On timeout, or
   * when the caller disconnects, returns a fault with the run state "not run". The operation itself
   * continues, and `onLate` receives its late result.
   */
  private async waitFor<Value>(
    call: Call,
    kind: waitBounds.WaitKind,
    readyBy: clock.Milliseconds,
    operation: Promise<trueMyth.Result<Value, errors.Fault>>,
    onLate: (late: trueMyth.Result<Value, errors.Fault>) => void = () => undefined,
  ): Promise<trueMyth.Result<Value, errors.Fault>> {
    const { clock: time, logger } = this.dependencies;
    const startedAt = time.now();
    const result = await waitWhileConnected.waitWhileConnected(
      time,
      readyBy - startedAt,
      call.signal,
      operation,
    );
    if (result !== clock.TIMED_OUT && result !== waitWhileConnected.CALLER_DISCONNECTED)
      return result;
    this.handleLate(call, operation, onLate);
    const isDisconnected = result === waitWhileConnected.CALLER_DISCONNECTED;
    logger.warn('A request stopped waiting before it was sent.', {
      request: call.id,
      kind,
      spanMs: Math.round(time.now() - startedAt),
      reason: isDisconnected ? 'the caller disconnected' : 'the wait timed out',
    });
    return trueMyth.Result.err(waitBounds.waitTimeoutFault(kind));
  }

  private recordEnd(
    call: Call,
    route: string,
    result: observedReply.ReplyOutcome,
    context: callContext.CallContext | undefined,
  ): void {
    const { logger, metrics } = this.dependencies;
    const spanMs = this.age(call);
    const workspace = context?.workspace?.name;
    metrics.observeCall(route, workspace ?? '', result.outcome, spanMs);
    if (result.outcome === 'refused') metrics.countRefusal(result.kind);
    logger.info('A request has ended.', {
      request: call.id,
      route,
      kind: result.kind,
      reason: result.reason,
      spanMs,
      ...(workspace === undefined ? {} : { workspace }),
      ...(call.programContext === undefined ? {} : { program: call.programContext.program }),
      ...targetFields(context),
      ...this.versionField(),
    });
  }

  private versionField(): { readonly version?: number } {
    const version = this.dependencies.tables.current?.version;
    return version === undefined ? {} : { version };
  }

  private age(call: Call): number {
    return Math.round(this.dependencies.clock.now() - call.receivedAt);
  }
}

/** Refuses a request unless its caller has disconnected. */
function refuse(call: Call, reply: Reply, fault: errors.Fault): void {
  if (!call.signal.aborted) reply.refuse(fault);
}

/** Log fields: the last target that a call was sent to, and how often it was sent to a target. */
function targetFields(context: callContext.CallContext | undefined): logging.LogFields {
  const target = context?.targets.at(-1);
  return target === undefined ? {} : { target, count: context!.targets.length };
}

function reservationOf(
  call: Call,
  { retainsTurns }: Route,
): programBudgets.Reservation | undefined {
  const { programContext } = call;
  if (programContext?.budgetTokens === undefined) return undefined;
  return {
    program: programContext.program,
    call: call.id,
    budgetTokens: programContext.budgetTokens,
    mostTokens: call.maximumTokens,
    isRetained: retainsTurns,
    ...(programContext.previousTurn === undefined
      ? {}
      : { previousTurn: programContext.previousTurn }),
  };
}
