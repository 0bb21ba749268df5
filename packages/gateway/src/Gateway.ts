import type * as allowances from '@limpettack/allowances';
import type * as clock from '@limpettack/clock';
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
    const { route } = context;
    if (this.parts.crashes.isRefused(context)) {
      reply.refuse(errors.createFault('request-quarantined'));
      return;
    }
    const isStream = route.kind === routeKinds.ROUTE_KINDS.STREAM;
    // The limit and the budget lie on two other VMs, so both are asked at once.
    const [refusal, grant] = await Promise.all([
      this.checkLimit(context),
      isStream ? this.reserve(context.call) : NO_BUDGET,
    ]);
    if (refusal !== undefined) {
      if (grant.isOk) this.settle(context.call, NOTHING_HANDED_OUT);
      reply.refuse(refusal);
      return;
    }
    if (!isStream) await new wholeCall.WholeCall(this.parts, context, reply).run();
    else if (grant.isErr) reply.refuse(grant.error);
    else await this.runStream(context, grant.value, reply);
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
  ): Promise<void> {
    const { call } = context;
    const plan = await this.plan(context, grant);
    if (plan.isErr) {
      this.settle(call, NOTHING_HANDED_OUT);
      reply.refuse(plan.error);
      return;
    }
    const outcome = await new streamCall.StreamCall(this.parts, context, plan.value, reply).run();
    this.settle(call, outcome);
  }

  private async reserve(call: Call): Promise<trueMyth.Result<programHomes.Grant, errors.Fault>> {
    const reservation = reservationOf(call);
    if (reservation === undefined) return NO_BUDGET;
    return this.parts.budgets.reserve(reservation);
  }

  /** Waits until the turn's tokens may be handed out; false when its time is over before. */
  private async covered(context: callContext.CallContext): Promise<boolean> {
    const { budgets, clock: time, logger } = this.parts;
    const { call, deadline } = context;
    const reservation = reservationOf(call);
    logger.info('An answer waits for the record of its budget.', { request: call.id });
    while (reservation !== undefined && !call.gone.aborted && time.now() < deadline) {
      const startedAt = time.now();
      if (await budgets.cover(reservation)) return true;
      const pause = COVER_INTERVAL_MS - (time.now() - startedAt);
      if (pause > 0) await time.sleep(pause, call.gone);
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
  ): Promise<trueMyth.Result<streamCall.StreamPlan, errors.Fault>> {
    const { call, pool, route, workspace } = context;
    const tokensPerEvent = this.parts.tables.current?.pools.get(pool)?.tokensPerEvent ?? 1;
    const previous = route.keepsTurns ? call.place?.previousTurn : undefined;
    const covered = grant.isCovered ? undefined : this.covered(context);
    const recordUse = (tokens: number, timeoutMs: number): Promise<boolean> =>
      this.recordUse(call, tokens, timeoutMs);
    const shared = { tokensPerEvent, covered, recordUse };
    if (previous === undefined) return trueMyth.Result.ok({ body: call.body, ...shared });
    const hints = { writer: grant.writer, retentionMs: route.retentionMs };
    const history = await this.parts.turns.history(previous, workspace?.name ?? '', hints);
    return history.map(({ contents, turns: earlier }) => ({
      body: Buffer.concat([...contents, call.body]),
      earlier,
      ...shared,
    }));
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
