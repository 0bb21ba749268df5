import type * as allowances from '@limpettack/allowances';
import * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as logging from '@limpettack/logging';
import type * as metrics from '@limpettack/metrics';
import type * as programHomes from '@limpettack/program-homes';
import * as trueMyth from 'true-myth';
import * as admitCaller from './admitCaller.js';
import * as callContext from './CallContext.js';
import * as observedReply from './ObservedReply.js';
import * as routeKinds from './RouteKinds.js';
import * as streamCall from './StreamCall.js';
import type * as tablesHolder from './TablesHolder.js';
import * as waitBounds from './waitBounds.js';
import * as whileWanted from './whileWanted.js';
import * as wholeCall from './WholeCall.js';
import type { Call, Reply } from './Types.js';

/** What calls get that draw on no budget. */
const NO_BUDGET: trueMyth.Result<programHomes.Grant, errors.Fault> = trueMyth.Result.ok({
  isCovered: true,
});

/** How a turn is settled that was not sent. */
const NOTHING_HANDED_OUT: streamCall.StreamOutcome = {
  tokens: 0,
  isComplete: false,
  isKept: false,
};

/** The part of its time that a request may wait for the limit of its workspace. */
const LIMIT_WAIT_SHARE = 0.3;

/** Time between two questions whether the log holds the record of a budget. */
const COVER_INTERVAL_MS = 100;

/** What the gateway needs. */
export interface GatewayParts extends streamCall.StreamCallParts, wholeCall.WholeCallParts {
  readonly tables: tablesHolder.TablesHolder;
  readonly allowances: Pick<allowances.AllowanceClient, 'admit'>;
  readonly budgets: programHomes.ProgramBudgets;
  readonly logger: logging.Logger;
  readonly metrics: metrics.Metrics;
}

/** The route of requests that match none, in metrics and logs. */
const NO_ROUTE = '';

/** The way of each request: allowed, within its limits, sent to a target, answered. */
export class Gateway {
  private inFlight = 0;

  public constructor(private readonly parts: GatewayParts) {}

  /** Requests that are not answered yet. */
  public get running(): number {
    return this.inFlight;
  }

  /** Handles a request to its end. */
  public async handle(call: Call, reply: Reply): Promise<void> {
    this.inFlight += 1;
    const admitted = admitCaller.admitCaller(this.parts.tables, call);
    const route = admitted.isOk ? admitted.value.route.name : NO_ROUTE;
    const observed = new observedReply.ObservedReply(reply, () =>
      this.parts.metrics.observeFirstToken(route, this.age(call)),
    );
    try {
      if (admitted.isErr) {
        observed.refuse(admitted.error);
        this.noteEnd(call, route, observed.result, undefined);
        return;
      }
      const { workspace } = admitted.value;
      const context = new callContext.CallContext(call, admitted.value.route, workspace);
      await this.serve(context, observed);
      this.noteEnd(call, route, observed.result, context);
    } finally {
      this.inFlight -= 1;
    }
  }

  private async serve(context: callContext.CallContext, reply: Reply): Promise<void> {
    const { call, deadline, route } = context;
    if (this.parts.crashes.isRefused(context)) {
      reply.refuse(errors.createFault('request-quarantined'));
      return;
    }
    if (this.parts.clock.now() >= deadline) {
      refuse(call, reply, waitBounds.refusalOfLate());
      return;
    }
    const isStream = route.kind === routeKinds.ROUTE_KINDS.STREAM;
    const readyBy = waitBounds.readyBy(this.parts.clock.now(), deadline);
    // The limit and the budget lie on two other VMs, so both are asked at once.
    const reserving = isStream ? this.reserve(call, readyBy) : Promise.resolve(NO_BUDGET);
    const refusal = await this.checkLimit(context);
    if (refusal !== undefined || call.gone.aborted) {
      // Nobody waits for the home any more, and what it may still grant is not used.
      this.afterwards(call, reserving, (late) => this.giveBack(call, late));
      if (refusal !== undefined) refuse(call, reply, refusal);
      return;
    }
    const grant = await reserving;
    if (!isStream) await new wholeCall.WholeCall(this.parts, context, reply).run();
    else if (grant.isErr) refuse(call, reply, grant.error);
    else await this.runStream(context, grant.value, reply, readyBy);
  }

  /** Takes the request from its workspace's limit; a fault when the limit does not hold it. */
  private async checkLimit(context: callContext.CallContext): Promise<errors.Fault | undefined> {
    const { call, deadline, workspace } = context;
    if (workspace === undefined) return undefined;
    const admission = await this.parts.allowances.admit({
      workspace: workspace.name,
      program: call.place?.program,
      // Calls of tools and turns that go on from others belong to programs under way.
      mayBegin: call.place?.budgetTokens !== undefined && call.place.previousTurn === undefined,
      patienceMs: LIMIT_WAIT_SHARE * (deadline - this.parts.clock.now()),
    });
    const answer = admission.isAdmitted ? 'admitted' : 'refused';
    this.parts.metrics.countAdmission(workspace.name, answer);
    if (admission.isAdmitted) return undefined;
    const { retryAfterMs } = admission;
    return errors.createFault('rate-limited', undefined, { retryAfterMs });
  }

  private async runStream(
    context: callContext.CallContext,
    grant: programHomes.Grant,
    reply: Reply,
    readyBy: clock.Milliseconds,
  ): Promise<void> {
    const { call } = context;
    const ending = new AbortController();
    const covered = grant.isCovered ? undefined : this.covered(call, ending.signal);
    const plan = await this.plan(context, grant, covered, readyBy);
    let outcome = NOTHING_HANDED_OUT;
    if (plan.isOk)
      outcome = await new streamCall.StreamCall(this.parts, context, plan.value, reply).run();
    ending.abort();
    this.settle(call, outcome);
    // The tokens are given back first: the next attempt may come at once.
    if (plan.isErr) refuse(call, reply, plan.error);
    // A home that was being asked meanwhile may have set the tokens aside anew.
    if (covered !== undefined) this.afterwards(call, covered, () => this.settle(call, outcome));
  }

  /** Takes in what comes after nobody waits for it any more. */
  private async afterwards<Value>(
    { id }: Call,
    late: Promise<Value>,
    step: (value: Value) => void,
  ): Promise<void> {
    try {
      step(await late);
    } catch (error) {
      const { logger } = this.parts;
      logger.error('What a request asked for has failed.', { request: id, reason: String(error) });
    }
  }

  private async reserve(
    call: Call,
    readyBy: clock.Milliseconds,
  ): Promise<trueMyth.Result<programHomes.Grant, errors.Fault>> {
    const { budgets, clock: time } = this.parts;
    const reservation = reservationOf(call);
    if (reservation === undefined) return NO_BUDGET;
    const reserving = budgets.reserve(reservation, readyBy - time.now());
    return this.waitFor(call, waitBounds.WAITS.BUDGET, readyBy, reserving, (late) =>
      this.giveBack(call, late),
    );
  }

  /** Settles the reservation of a turn that was not sent, if there is one. */
  private giveBack(call: Call, granted: trueMyth.Result<programHomes.Grant, errors.Fault>): void {
    if (granted.isOk) this.settle(call, NOTHING_HANDED_OUT);
  }

  /** Waits until the turn's tokens may be handed out; false when the turn ends before. */
  private async covered(call: Call, ending: AbortSignal): Promise<boolean> {
    const { budgets, clock: time, logger } = this.parts;
    const reservation = reservationOf(call);
    logger.info('An answer waits for the record of its budget.', { request: call.id });
    while (reservation !== undefined && !ending.aborted) {
      const startedAt = time.now();
      if (await budgets.cover(reservation)) return true;
      const pause = COVER_INTERVAL_MS - (time.now() - startedAt);
      if (pause > 0) await time.sleep(pause, ending);
    }
    return false;
  }

  private settle(call: Call, outcome: streamCall.StreamOutcome): void {
    const { place } = call;
    if (place?.budgetTokens === undefined) return;
    const { isKept, tokens } = outcome;
    this.parts.budgets.settle({ program: place.program, call: call.id, tokens, isKept });
  }

  private async recordUse(
    { id, place }: Call,
    tokens: number,
    timeoutMs: clock.Milliseconds,
  ): Promise<boolean> {
    if (place?.budgetTokens === undefined) return true;
    const settlement = { program: place.program, call: id, tokens, isKept: true };
    return this.parts.budgets.settleKept(settlement, timeoutMs);
  }

  /** Puts the history before the new input where the route keeps turns. */
  private async plan(
    context: callContext.CallContext,
    grant: programHomes.Grant,
    covered: Promise<boolean> | undefined,
    readyBy: clock.Milliseconds,
  ): Promise<trueMyth.Result<streamCall.StreamPlan, errors.Fault>> {
    const { call, deadline, pool, route, workspace } = context;
    const tokensPerEvent = this.parts.tables.current?.pools.get(pool)?.tokensPerEvent ?? 1;
    const previous = route.keepsTurns ? call.place?.previousTurn : undefined;
    const recordUse = (tokens: number, timeoutMs: number): Promise<boolean> =>
      this.recordUse(call, tokens, timeoutMs);
    const shared = { tokensPerEvent, covered, recordUse };
    if (previous === undefined) return trueMyth.Result.ok({ body: call.body, ...shared });
    const hints = {
      writer: grant.writer,
      retentionMs: route.retentionMs,
      mostRunMs: deadline - this.parts.clock.now(),
    };
    const reading = this.parts.turns.history(previous, workspace?.name ?? '', hints);
    // The look-up goes on when the turn is refused, and the next attempt finds what it has read.
    const history = await this.waitFor(call, waitBounds.WAITS.HISTORY, readyBy, reading);
    return history.map(({ contents, turns: earlier }) => ({
      body: Buffer.concat([...contents, call.body]),
      earlier,
      ...shared,
    }));
  }

  /**
   * Waits for what a request needs before it is offered to a target. A fault, not run, when that
   * takes too long or the caller goes. The work itself goes on; what it brings late is taken in, if
   * that is needed.
   */
  private async waitFor<Value>(
    call: Call,
    kind: waitBounds.WaitKind,
    readyBy: clock.Milliseconds,
    work: Promise<trueMyth.Result<Value, errors.Fault>>,
    takeLate: (late: trueMyth.Result<Value, errors.Fault>) => void = () => undefined,
  ): Promise<trueMyth.Result<Value, errors.Fault>> {
    const { clock: time, logger } = this.parts;
    const startedAt = time.now();
    const result = await whileWanted.whileWanted(time, readyBy - startedAt, call.gone, work);
    if (result !== clock.LIMIT_PASSED && result !== whileWanted.CALLER_GONE) return result;
    this.afterwards(call, work, takeLate);
    const isGone = result === whileWanted.CALLER_GONE;
    logger.warn('A wait before the sending of a request was ended.', {
      request: call.id,
      kind,
      spanMs: Math.round(time.now() - startedAt),
      reason: isGone ? 'the caller has gone' : 'its time to wait is over',
    });
    return trueMyth.Result.err(waitBounds.refusalOf(kind));
  }

  private noteEnd(
    call: Call,
    route: string,
    result: observedReply.ReplyOutcome,
    context: callContext.CallContext | undefined,
  ): void {
    const { logger, metrics } = this.parts;
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
      ...(call.place === undefined ? {} : { program: call.place.program }),
      ...targetFields(context),
      ...this.versionField(),
    });
  }

  private versionField(): { readonly version?: number } {
    const version = this.parts.tables.current?.version;
    return version === undefined ? {} : { version };
  }

  private age(call: Call): number {
    return Math.round(this.parts.clock.now() - call.receivedAt);
  }
}

/** Refuses a request, unless nobody is there to hear it. */
function refuse(call: Call, reply: Reply, fault: errors.Fault): void {
  if (!call.gone.aborted) reply.refuse(fault);
}

/** The last target that a call was sent to, and how many there were. */
function targetFields(context: callContext.CallContext | undefined): logging.LogFields {
  const target = context?.targets.at(-1);
  return target === undefined ? {} : { target, count: context!.targets.length };
}

function reservationOf(call: Call): programHomes.Reservation | undefined {
  const { place } = call;
  if (place?.budgetTokens === undefined) return undefined;
  return {
    program: place.program,
    call: call.id,
    budgetTokens: place.budgetTokens,
    mostTokens: call.mostTokens,
    ...(place.previousTurn === undefined ? {} : { previousTurn: place.previousTurn }),
  };
}
