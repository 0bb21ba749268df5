import type * as allowances from '@limpettack/allowances';
import * as errors from '@limpettack/errors';
import type * as logging from '@limpettack/logging';
import type * as programHomes from '@limpettack/program-homes';
import * as trueMyth from 'true-myth';
import * as admitCaller from './admitCaller.js';
import * as callContext from './CallContext.js';
import * as routeKinds from './RouteKinds.js';
import * as streamCall from './StreamCall.js';
import type * as tablesHolder from './TablesHolder.js';
import * as wholeCall from './WholeCall.js';
import type { Call, Reply } from './Types.js';

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
}

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
    try {
      await this.serve(call, reply);
    } finally {
      this.inFlight -= 1;
    }
  }

  private async serve(call: Call, reply: Reply): Promise<void> {
    const admitted = admitCaller.admitCaller(this.parts.tables, call);
    if (admitted.isErr) {
      this.refuse(call, reply, admitted.error);
      return;
    }
    const { route, workspace } = admitted.value;
    const context = new callContext.CallContext(call, route, workspace);
    if (this.parts.crashes.isRefused(context)) {
      this.refuse(call, reply, errors.createFault('request-quarantined'));
      return;
    }
    if (workspace !== undefined) {
      const admission = await this.parts.allowances.admit({
        workspace: workspace.name,
        program: call.place?.program,
        // Calls of tools and turns that go on from others belong to programs under way.
        mayBegin: call.place?.budgetTokens !== undefined && call.place.previousTurn === undefined,
        patienceMs: LIMIT_WAIT_SHARE * (context.deadline - this.parts.clock.now()),
      });
      if (!admission.isAdmitted) {
        const { retryAfterMs } = admission;
        this.refuse(call, reply, errors.createFault('rate-limited', undefined, { retryAfterMs }));
        return;
      }
    }
    const isStream = route.kind === routeKinds.ROUTE_KINDS.STREAM;
    if (isStream) await this.runStream(context, reply);
    else await new wholeCall.WholeCall(this.parts, context, reply).run();
    this.logEnd(context, reply);
  }

  private async runStream(context: callContext.CallContext, reply: Reply): Promise<void> {
    const { call } = context;
    const grant = await this.reserve(call);
    if (grant.isErr) {
      this.refuse(call, reply, grant.error);
      return;
    }
    const plan = await this.plan(context, grant.value);
    if (plan.isErr) {
      this.settle(call, { tokens: 0, isComplete: false, isKept: false });
      this.refuse(call, reply, plan.error);
      return;
    }
    const outcome = await new streamCall.StreamCall(this.parts, context, plan.value, reply).run();
    this.settle(call, outcome);
  }

  private async reserve(call: Call): Promise<trueMyth.Result<programHomes.Grant, errors.Fault>> {
    const reservation = reservationOf(call);
    if (reservation === undefined) return trueMyth.Result.ok({ isCovered: true });
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

  /** Puts the history before the new input where the route keeps turns. */
  private async plan(
    context: callContext.CallContext,
    grant: programHomes.Grant,
  ): Promise<trueMyth.Result<streamCall.StreamPlan, errors.Fault>> {
    const { call, pool, route, workspace } = context;
    const tokensPerEvent = this.parts.tables.current?.pools.get(pool)?.tokensPerEvent ?? 1;
    const previous = route.keepsTurns ? call.place?.previousTurn : undefined;
    const covered = grant.isCovered ? undefined : this.covered(context);
    const shared = { tokensPerEvent, covered };
    if (previous === undefined) return trueMyth.Result.ok({ body: call.body, ...shared });
    const hints = grant.writer === undefined ? {} : { writer: grant.writer };
    const history = await this.parts.turns.history(previous, workspace?.name ?? '', hints);
    return history.map((contents) => ({
      body: Buffer.concat([...contents, call.body]),
      ...shared,
    }));
  }

  private refuse(call: Call, reply: Reply, fault: errors.Fault): void {
    this.parts.logger.info('A request was refused.', {
      request: call.id,
      kind: fault.kind,
      reason: fault.message,
      spanMs: this.age(call),
      ...(call.place === undefined ? {} : { program: call.place.program }),
      ...this.versionField(),
    });
    reply.refuse(fault);
  }

  private logEnd(context: callContext.CallContext, reply: Reply): void {
    const { call, route, workspace } = context;
    this.parts.logger.info('A request has ended.', {
      request: call.id,
      kind: route.name,
      reason: reply.hasStarted ? 'answered' : 'not answered',
      spanMs: this.age(call),
      ...(workspace === undefined ? {} : { workspace: workspace.name }),
      ...(call.place === undefined ? {} : { program: call.place.program }),
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
