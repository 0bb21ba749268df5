import type * as clockTypes from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as journal from '@limpettack/journal';
import type * as scheduling from '@limpettack/scheduling';
import type * as targets from '@limpettack/targets';
import * as trueMyth from 'true-myth';
import * as ulid from 'ulid';
import * as answerBuffer from './AnswerBuffer.js';
import * as answers from './answers.js';
import * as callOrder from './CallOrder.js';
import * as completions from './completions.js';
import * as digests from './digests.js';
import * as faults from './faults.js';
import type * as keyedCaller from './KeyedCaller.js';
import * as messages from './messages.js';
import type * as modelCaller from './ModelCaller.js';
import * as programIds from './programIds.js';
import * as records from './records.js';
import type * as reservations from './Reservations.js';
import type * as serviceCaller from './ServiceCaller.js';
import type {
  Amount,
  CallRequest,
  ChatMessage,
  JournalBody,
  Outcome,
  ProgramState,
  RecordedAnswer,
  RecordedTurn,
  RunningCall,
  ShardState,
} from './Types.js';

/** A call of a program goes out only if the shard was known to be owned so recently. */
const AUTHORITY_FRESHNESS_MS = 1_000;

/** The fencing of calls that belong to no shard. */
const UNFENCED: targets.FencingNumber = { scope: 'none', number: 0 };

/** What a home needs to run calls. */
export interface HomeCallsOptions {
  readonly shards: journal.Journal<ShardState, JournalBody>;
  readonly configuration: configuration.ConfigurationView;
  readonly scheduler: scheduling.Scheduler;
  readonly directory: targets.TargetDirectory;
  readonly models: modelCaller.ModelCaller;
  readonly services: serviceCaller.ServiceCaller;
  readonly keyed: keyedCaller.KeyedCaller;
  readonly reservations: reservations.Reservations;
  readonly clock: clockTypes.Clock;
}

/** What a turn brought, before it is journaled. */
interface TurnResult {
  readonly messages: readonly ChatMessage[];
  readonly answer: RecordedAnswer;
  readonly used: Amount;
  readonly wantedTokens: number;
  readonly target: string | undefined;
}

type ModelRequest = Extract<CallRequest['call'], { kind: 'model' }>;
type ServiceRequest = Extract<CallRequest['call'], { kind: 'service' }>;

/** Runs the calls of the programs whose shards this process owns, and calls outside programs. */
export class HomeCalls {
  private readonly orders = new Map<string, callOrder.CallOrder>();

  /** Keyed calls outside programs that run now, by call key. */
  private readonly runningKeyed = new Map<string, answerBuffer.AnswerBuffer>();

  /** Service that each program has had, in seconds of a target's slot. */
  private readonly attained = new Map<string, number>();

  private readonly controllers = new Map<AbortController, number>();

  /** Calls of earlier homes that were taken up here. */
  private readonly resumed = new Set<string>();

  /** Targets that a program's calls went to, whether or not the journal says so. */
  private readonly touched = new Map<string, Set<string>>();

  public constructor(private readonly options: HomeCallsOptions) {}

  /** How many calls run now. */
  public get runningCount(): number {
    return this.controllers.size;
  }

  /** Finds or starts the call. Faults are not run, unless they say otherwise. */
  public enter(
    request: CallRequest,
    callerGone: AbortSignal,
  ): Promise<Outcome<answerBuffer.AnswerBuffer>> {
    if (request.program !== undefined) return this.enterProgram(request, request.program);
    return this.enterAlone(request, callerGone);
  }

  /** Whether a call that an earlier home started goes on here. */
  public isResumed(callId: string): boolean {
    return this.resumed.has(callId);
  }

  /** Targets that may hold engine memory for a program since this process runs its calls. */
  public touchedBy(program: string): ReadonlySet<string> {
    return this.touched.get(program) ?? new Set();
  }

  /** Waits until a turn that runs now has ended. */
  public async awaitTurn(program: string, turn: number): Promise<void> {
    const running = this.orders.get(program)?.current;
    if (running?.turn === turn) await running.buffer.ended();
  }

  /** Forgets an ended program. */
  public forget(program: string): void {
    this.orders.delete(program);
    this.touched.delete(program);
  }

  /** Aborts what runs for a program. */
  public abortProgram(program: string): void {
    this.orders.get(program)?.current?.controller.abort(faults.ABORT_REASONS.PROGRAM_ENDED);
    this.options.reservations.forget(program);
    this.attained.delete(program);
  }

  /** Aborts what runs for a shard that another process owns now. */
  public abortShard(shard: number): void {
    this.controllers.forEach((owner, controller) => {
      if (owner === shard) controller.abort(faults.ABORT_REASONS.SHARD_LOST);
    });
  }

  /** Aborts all calls, so that entries take them to other homes. */
  public abortAll(): void {
    this.controllers.forEach((_, controller) => controller.abort(faults.ABORT_REASONS.SHARD_LOST));
  }

  private async enterProgram(
    request: CallRequest,
    id: string,
  ): Promise<Outcome<answerBuffer.AnswerBuffer>> {
    const deadline = this.options.clock.now() + request.remainingMs;
    const shard = this.options.shards.shardOf(programIds.rootOf(id));
    const found = this.findProgram(shard, id, request.workspace);
    if (found.isErr) return trueMyth.Result.err(found.error);
    const program = found.value;
    const requestDigest = digests.digestRequest(request);
    const placed = await this.orderOf(id).place(program, {
      requestId: request.requestId,
      turn: request.turn,
      requestDigest,
      deadline,
      begin: (turn) => this.beginTurn(request, shard, program, turn, requestDigest, deadline),
    });
    return placed.map((place) =>
      place.kind === callOrder.PLACE_KINDS.RECORDED ? replay(place.recorded) : place.running.buffer,
    );
  }

  private beginTurn(
    request: CallRequest,
    shard: number,
    program: ProgramState,
    turn: number,
    requestDigest: string,
    deadline: clockTypes.Milliseconds,
  ): Outcome<callOrder.RunningTurn> {
    const prepared = this.prepare(request, shard, program, turn, deadline);
    if (prepared.isErr) return trueMyth.Result.err(prepared.error);
    const buffer = new answerBuffer.AnswerBuffer();
    const { call, controller } = prepared.value;
    const { running } = request;
    if (running !== undefined) this.resumed.add(running.callId);
    this.runTurn(call, program, requestDigest, buffer).finally(() => {
      this.controllers.delete(controller);
      if (running !== undefined) this.resumed.delete(running.callId);
      this.orderOf(program.program).finish();
    });
    const { requestId } = request;
    return trueMyth.Result.ok({ turn, requestId, requestDigest, buffer, controller });
  }

  private async enterAlone(
    request: CallRequest,
    callerGone: AbortSignal,
  ): Promise<Outcome<answerBuffer.AnswerBuffer>> {
    const deadline = this.options.clock.now() + request.remainingMs;
    const callKey = keyOf(request);
    const shard = callKey === undefined ? -1 : this.options.shards.shardOf(callKey);
    const running = callKey === undefined ? undefined : this.runningKeyed.get(callKey);
    if (running !== undefined) return trueMyth.Result.ok(running);
    const prepared = this.prepare(request, shard, undefined, 0, deadline);
    if (prepared.isErr) return trueMyth.Result.err(prepared.error);
    const { call, controller } = prepared.value;
    const buffer = new answerBuffer.AnswerBuffer();
    if (callKey !== undefined) this.runningKeyed.set(callKey, buffer);
    else this.abortWhenGone(controller, callerGone);
    this.runAlone(call, buffer).finally(() => {
      this.controllers.delete(controller);
      if (callKey !== undefined) this.runningKeyed.delete(callKey);
    });
    return trueMyth.Result.ok(buffer);
  }

  private abortWhenGone(controller: AbortController, callerGone: AbortSignal): void {
    const abort = (): void => controller.abort(faults.ABORT_REASONS.CALLER_GONE);
    if (callerGone.aborted) abort();
    else callerGone.addEventListener('abort', abort, { once: true });
  }

  private findProgram(
    shard: number,
    id: string,
    workspace: string | undefined,
  ): Outcome<ProgramState> {
    const owned = this.options.shards.owned(shard);
    if (owned === undefined) return trueMyth.Result.err(errors.createFault('not-owner'));
    const program = owned.state.programs.get(id);
    if (program === undefined || program.workspace !== workspace) {
      return trueMyth.Result.err(errors.createFault('program-unknown'));
    }
    return trueMyth.Result.ok(program);
  }

  private orderOf(id: string): callOrder.CallOrder {
    const known = this.orders.get(id);
    if (known !== undefined) return known;
    const order = new callOrder.CallOrder(this.options.clock);
    this.orders.set(id, order);
    return order;
  }

  /** Finds the route and pool of a call and bounds its time. */
  private prepare(
    request: CallRequest,
    shard: number,
    program: ProgramState | undefined,
    turn: number,
    deadline: clockTypes.Milliseconds,
  ): Outcome<{ call: RunningCall; controller: AbortController }> {
    const current = this.options.configuration.current();
    const route = current.routes.get(request.route);
    const pool = route === undefined ? undefined : current.pools.get(route.pool);
    if (route === undefined || pool === undefined || route.kind !== request.call.kind) {
      return trueMyth.Result.err(errors.createFault('route-unknown'));
    }
    const expiry = program === undefined ? Infinity : expiryOf(program);
    if (expiry <= this.options.clock.now()) {
      return trueMyth.Result.err(errors.createFault('budget-exhausted'));
    }
    const bounded = Math.min(deadline, expiry);
    const controller = this.startController(shard, bounded);
    const call: RunningCall = {
      request,
      callId: `${request.program ?? 'single'}:${turn}:${ulid.ulid()}`,
      shard,
      route,
      pool,
      program,
      turn,
      deadline: bounded,
      signal: controller.signal,
    };
    return trueMyth.Result.ok({ call, controller });
  }

  private startController(shard: number, deadline: clockTypes.Milliseconds): AbortController {
    const controller = new AbortController();
    this.controllers.set(controller, shard);
    const stopped = new AbortController();
    controller.signal.addEventListener('abort', () => stopped.abort(), { once: true });
    const span = Math.max(0, deadline - this.options.clock.now());
    this.options.clock.sleep(span, stopped.signal).then(() => {
      if (this.controllers.has(controller)) controller.abort(faults.ABORT_REASONS.DEADLINE);
    });
    return controller;
  }

  private async runTurn(
    call: RunningCall,
    program: ProgramState,
    requestDigest: string,
    buffer: answerBuffer.AnswerBuffer,
  ): Promise<void> {
    const result =
      call.request.call.kind === configuration.CALL_KINDS.MODEL
        ? await this.runModelTurn(call, program, call.request.call, buffer)
        : await this.runServiceTurn(call, program, call.request.call, requestDigest);
    if (result.isErr) {
      buffer.end(faults.faultItem(result.error));
      return;
    }
    await this.completeTurn(call, program, requestDigest, result.value, buffer);
  }

  private async runModelTurn(
    call: RunningCall,
    program: ProgramState,
    model: ModelRequest,
    buffer: answerBuffer.AnswerBuffer,
  ): Promise<Outcome<TurnResult>> {
    const wantedTokens = model.maximumTokens ?? call.route.defaultMaximumTokens;
    const { reservations: kept } = this.options;
    const reserved = await kept.reserve(call.shard, program, wantedTokens);
    if (reserved.isErr) return trueMyth.Result.err(reserved.error);
    const history = program.turns.flatMap((turn) => turn.messages);
    buffer.onStarted = (target) => this.touch(program.program, target);
    const ending = await this.options.models.run({
      call,
      model,
      messages: [...history, ...model.messages],
      maximumTokens: reserved.value,
      fingerprint: digests.fingerprintRequest(call.request),
      attainedSeconds: this.attained.get(program.program) ?? 0,
      buffer,
      confirmAuthority: () => this.confirmAuthority(call.shard, AUTHORITY_FRESHNESS_MS),
    });
    if (ending.result.isErr) {
      const used = { tokens: ending.abandonedTokens, calls: ending.wasSent ? 1 : 0 };
      if (ending.wasSent) await kept.settle(call.shard, program, used);
      return trueMyth.Result.err(ending.result.error);
    }
    const answer = ending.result.value;
    this.noteService(call, answer.serviceSeconds);
    this.options.directory.noteCached(
      answer.target,
      program.program,
      answer.usage.promptTokens + answer.usage.generatedTokens,
    );
    return trueMyth.Result.ok({
      messages: [...model.messages, completions.assistantMessage(buffer.chunks())],
      answer: answers.recordModel(buffer.chunks()),
      used: { tokens: answer.usage.generatedTokens + ending.abandonedTokens, calls: 1 },
      wantedTokens,
      target: answer.target,
    });
  }

  private async runServiceTurn(
    call: RunningCall,
    program: ProgramState,
    service: ServiceRequest,
    requestDigest: string,
  ): Promise<Outcome<TurnResult>> {
    const reserved = await this.options.reservations.reserve(call.shard, program, 0);
    if (reserved.isErr) return trueMyth.Result.err(reserved.error);
    const result = await this.runService(call, service, requestDigest);
    if (result.isErr) {
      const wasSent = result.error.run !== errors.RUN_STATES.NOT_RUN;
      const used = { tokens: 0, calls: 1 };
      if (wasSent) await this.options.reservations.settle(call.shard, program, used);
      return trueMyth.Result.err(result.error);
    }
    return trueMyth.Result.ok({
      messages: [],
      answer: result.value,
      used: { tokens: 0, calls: 1 },
      wantedTokens: call.route.defaultMaximumTokens,
      target: undefined,
    });
  }

  private async runService(
    call: RunningCall,
    service: ServiceRequest,
    requestDigest: string,
  ): Promise<Outcome<RecordedAnswer>> {
    const callKey = keyOf(call.request);
    const mustConfirm = !call.route.repeatable;
    const prepared = {
      call,
      service,
      fingerprint: digests.fingerprintRequest(call.request),
      attainedSeconds: this.attained.get(call.request.program ?? '') ?? 0,
      confirmAuthority: () =>
        this.confirmAuthority(call.shard, mustConfirm ? 0 : AUTHORITY_FRESHNESS_MS),
    };
    if (call.route.repeatable) {
      const answer = await this.options.services.runRepeatable(prepared);
      return answer.map(answers.recordService);
    }
    const { idempotencyKey } = service;
    if (callKey === undefined || idempotencyKey === undefined) {
      return trueMyth.Result.err(errors.createFault('idempotency-key-required'));
    }
    return this.options.keyed.run({ prepared, callKey, requestDigest, idempotencyKey });
  }

  /** Journals a turn; only then is the caller told that it has ended. */
  private async completeTurn(
    call: RunningCall,
    program: ProgramState,
    requestDigest: string,
    result: TurnResult,
    buffer: answerBuffer.AnswerBuffer,
  ): Promise<void> {
    const body = {
      turn: call.turn,
      requestId: call.request.requestId,
      requestDigest,
      messages: [...result.messages],
      answer: result.answer,
      target: result.target,
    };
    const completed: RecordedTurn = {
      ...body,
      chainDigest: digests.chainTurn(program.turns.at(-1), body),
    };
    const appended = await this.options.shards.append(
      call.shard,
      {
        kind: records.RECORD_KINDS.TURN_COMPLETED,
        program: program.program,
        completed,
        used: result.used,
        reserved: this.options.reservations.next(program, result.used, result.wantedTokens),
      },
      { replicateInOutage: true },
    );
    if (appended.isErr) {
      buffer.end(faults.faultItem(faults.withSent(appended.error, true)));
      return;
    }
    if (!this.isRecorded(call, program, completed)) {
      // The caller fetches the turn again and receives the answer that counts.
      const fault = errors.createFault('stream-interrupted');
      buffer.end(faults.faultItem(faults.withSent(fault, true)));
      return;
    }
    if (call.request.call.kind === configuration.CALL_KINDS.SERVICE) {
      answers.itemsOfAnswer(result.answer).forEach((item) => buffer.add(item));
    }
    const { durability } = appended.value;
    buffer.end({ kind: messages.ITEM_KINDS.FINISHED, turn: call.turn, durability });
  }

  /** Whether this record of the turn counts, and not one of an earlier run of it. */
  private isRecorded(call: RunningCall, program: ProgramState, completed: RecordedTurn): boolean {
    const state = this.options.shards.owned(call.shard)?.state;
    const current = state?.programs.get(program.program) ?? program;
    return current.turns[completed.turn - 1]?.chainDigest === completed.chainDigest;
  }

  private async runAlone(call: RunningCall, buffer: answerBuffer.AnswerBuffer): Promise<void> {
    const fault =
      call.request.call.kind === configuration.CALL_KINDS.MODEL
        ? await this.runModelAlone(call, call.request.call, buffer)
        : await this.runServiceAlone(call, call.request.call, buffer);
    if (fault !== undefined) buffer.end(faults.faultItem(fault));
    else {
      const durability = journal.DURABILITIES.JOURNALED;
      buffer.end({ kind: messages.ITEM_KINDS.FINISHED, turn: 0, durability });
    }
  }

  private async runModelAlone(
    call: RunningCall,
    model: ModelRequest,
    buffer: answerBuffer.AnswerBuffer,
  ): Promise<errors.Fault | undefined> {
    const ending = await this.options.models.run({
      call,
      model,
      messages: model.messages,
      maximumTokens: model.maximumTokens ?? call.route.defaultMaximumTokens,
      fingerprint: digests.fingerprintRequest(call.request),
      attainedSeconds: 0,
      buffer,
      confirmAuthority: () => Promise.resolve(trueMyth.Result.ok(UNFENCED)),
    });
    if (ending.result.isErr) return ending.result.error;
    this.noteService(call, ending.result.value.serviceSeconds);
    return undefined;
  }

  private async runServiceAlone(
    call: RunningCall,
    service: ServiceRequest,
    buffer: answerBuffer.AnswerBuffer,
  ): Promise<errors.Fault | undefined> {
    const requestDigest = digests.digestRequest(call.request);
    const result = await this.runService(call, service, requestDigest);
    if (result.isErr) return result.error;
    answers.itemsOfAnswer(result.value).forEach((item) => buffer.add(item));
    return undefined;
  }

  private touch(program: string, target: string): void {
    const touched = this.touched.get(program) ?? new Set();
    touched.add(target);
    this.touched.set(program, touched);
  }

  private noteService(call: RunningCall, seconds: number): void {
    const { program, workspace } = call.request;
    this.options.scheduler.recordService(workspace ?? '', seconds);
    if (program === undefined) return;
    this.attained.set(program, (this.attained.get(program) ?? 0) + seconds);
  }

  private async confirmAuthority(
    shard: number,
    freshnessMs: clockTypes.Milliseconds,
  ): Promise<Outcome<targets.FencingNumber>> {
    if (shard < 0) return trueMyth.Result.ok(UNFENCED);
    const confirmed = await this.options.shards.confirmAuthority(shard, freshnessMs);
    return confirmed.map((ownership) => ({
      scope: fencingScope(shard),
      number: ownership.epoch,
    }));
  }
}

/** The fencing scope of a shard's calls. */
export function fencingScope(shard: number): string {
  return `shard-${shard}`;
}

/** When a program's time is up, on this process's clock. */
export function expiryOf(program: ProgramState): clockTypes.Milliseconds {
  return program.openedAt + program.budget.wallTimeMs;
}

/** The call key of a service call that names an idempotency key. */
function keyOf(request: CallRequest): string | undefined {
  if (request.call.kind !== configuration.CALL_KINDS.SERVICE) return undefined;
  const { idempotencyKey } = request.call;
  if (idempotencyKey === undefined) return undefined;
  const { workspace, route, program } = request;
  return programIds.createCallKey(workspace, route, program, idempotencyKey);
}

function replay(recorded: RecordedTurn): answerBuffer.AnswerBuffer {
  const buffer = new answerBuffer.AnswerBuffer();
  answers.itemsOfAnswer(recorded.answer).forEach((item) => buffer.add(item));
  buffer.end({
    kind: messages.ITEM_KINDS.FINISHED,
    turn: recorded.turn,
    durability: journal.DURABILITIES.JOURNALED,
  });
  return buffer;
}
