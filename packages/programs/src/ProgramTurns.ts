import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import type * as scheduling from '@limpettack/scheduling';
import type * as targets from '@limpettack/targets';
import * as trueMyth from 'true-myth';
import type * as responseBuffer from './ResponseBuffer.js';
import * as responses from './responses.js';
import type * as authorities from './ShardAuthority.js';
import * as completions from './completions.js';
import * as digests from './digests.js';
import * as faults from './faults.js';
import * as messages from './messages.js';
import type * as modelCaller from './ModelCaller.js';
import * as records from './records.js';
import type * as reservations from './Reservations.js';
import type * as serviceCallRunner from './ServiceCallRunner.js';
import type {
  Amount,
  CallRequest,
  ChatMessage,
  JournalBody,
  FaultResult,
  ProgramState,
  RecordedResponse,
  RecordedTurn,
  RunningCall,
  ShardState,
} from './Types.js';

type ModelRequest = Extract<CallRequest['call'], { kind: 'model' }>;
type ServiceRequest = Extract<CallRequest['call'], { kind: 'service' }>;

/** Dependencies of `ProgramTurns`. */
export interface ProgramTurnsOptions {
  readonly shards: journal.Journal<ShardState, JournalBody>;
  readonly scheduler: scheduling.Scheduler;
  readonly directory: targets.TargetDirectory;
  readonly models: modelCaller.ModelCaller;
  readonly services: serviceCallRunner.ServiceCallRunner;
  readonly reservations: reservations.Reservations;
  readonly authority: authorities.ShardAuthority;
}

/** The result of a turn that is not journaled yet. */
interface TurnResult {
  readonly messages: readonly ChatMessage[];
  readonly answer: RecordedResponse;
  readonly used: Amount;
  readonly wantedTokens: number;
  readonly target: string | undefined;
}

/** Runs the turns of programs within their budgets. A turn ends only after it is journaled. */
export class ProgramTurns {
  /** Service time that each program has received, in seconds of a target's slot. */
  private readonly attainedSeconds = new Map<string, number>();

  /**
   * Targets that received calls of each program, including targets that no journal record contains.
   */
  private readonly contactedTargets = new Map<string, Set<string>>();

  public constructor(private readonly options: ProgramTurnsOptions) {}

  /**
   * Targets to which this process has sent calls of a program, so that they may hold engine memory
   * for it.
   */
  public targetsOf(program: string): ReadonlySet<string> {
    return this.contactedTargets.get(program) ?? new Set();
  }

  /** Discards the data of an ended program. */
  public discardProgram(program: string): void {
    this.contactedTargets.delete(program);
    this.attainedSeconds.delete(program);
    this.options.reservations.discard(program);
  }

  /** Runs a turn and adds its response to the buffer as it arrives. */
  public async run(
    call: RunningCall,
    program: ProgramState,
    requestDigest: string,
    buffer: responseBuffer.ResponseBuffer,
  ): Promise<void> {
    const { call: body } = call.request;
    const result =
      body.kind === configuration.CALL_KINDS.MODEL
        ? await this.runModel(call, program, body, buffer)
        : await this.runService(call, program, body);
    const completion = result.isOk
      ? await this.complete(call, program, requestDigest, result.value)
      : trueMyth.Result.err<journal.AppendReceipt, errors.Fault>(result.error);
    if (completion.isErr) {
      // The turn's usage is charged even though its record may be lost. If another record of the
      // same turn was journaled first, the fold has already charged the usage of this one too.
      const isAlreadyCharged = completion.error.kind === 'stream-interrupted';
      if (result.isOk && !isAlreadyCharged && this.isCurrent(call.shard, program)) {
        await this.options.reservations.settle(call.shard, program, result.value.used);
      }
      buffer.end(faults.faultItem(completion.error));
      return;
    }
    if (result.isOk && body.kind === configuration.CALL_KINDS.SERVICE) {
      responses.itemsOfResponse(result.value.answer).forEach((item) => buffer.add(item));
    }
    const { durability } = completion.value;
    buffer.end({ kind: messages.ITEM_KINDS.FINISHED, turn: call.turn, durability });
  }

  private async runModel(
    call: RunningCall,
    program: ProgramState,
    model: ModelRequest,
    buffer: responseBuffer.ResponseBuffer,
  ): Promise<FaultResult<TurnResult>> {
    const { reservations: budget, directory } = this.options;
    const wantedTokens = model.maximumTokens ?? call.route.defaultMaximumTokens;
    const reserved = await budget.reserve(call.shard, program, wantedTokens);
    if (reserved.isErr) return trueMyth.Result.err(reserved.error);
    buffer.onStarted = (target) => this.noteTarget(program.program, target);
    const run = await this.options.models.run({
      call,
      model,
      messages: [...program.turns.flatMap((turn) => turn.messages), ...model.messages],
      maximumTokens: reserved.value,
      reserveRetry: (abandoned) =>
        budget.reserveRetry(call.shard, program, abandoned, wantedTokens),
      fingerprint: digests.fingerprintRequest(call.request),
      attainedSeconds: this.attainedBy(program),
      buffer,
      confirmAuthority: () => this.options.authority.confirmRepeatable(call.shard),
    });
    const { result, wasSent, abandonedTokens } = run;
    if (result.isErr) {
      if (wasSent) await budget.settle(call.shard, program, { tokens: abandonedTokens, calls: 1 });
      return trueMyth.Result.err(result.error);
    }
    const { target, usage, serviceSeconds } = result.value;
    this.recordServiceTime(call, program, serviceSeconds);
    directory.noteCached(target, program.program, usage.promptTokens + usage.generatedTokens);
    const chunks = buffer.chunks();
    return trueMyth.Result.ok({
      messages: [...model.messages, completions.assistantMessage(chunks)],
      answer: responses.recordModelResponse(chunks),
      used: { tokens: usage.generatedTokens + abandonedTokens, calls: 1 },
      wantedTokens,
      target,
    });
  }

  private async runService(
    call: RunningCall,
    program: ProgramState,
    service: ServiceRequest,
  ): Promise<FaultResult<TurnResult>> {
    const { reservations: budget } = this.options;
    const used = { tokens: 0, calls: 1 };
    const reserved = await budget.reserve(call.shard, program, 0);
    if (reserved.isErr) return trueMyth.Result.err(reserved.error);
    const result = await this.options.services.run(call, service, this.attainedBy(program));
    if (result.isErr) {
      const wasSent = result.error.run !== errors.RUN_STATES.NOT_RUN;
      if (wasSent) await budget.settle(call.shard, program, used);
      return trueMyth.Result.err(result.error);
    }
    return trueMyth.Result.ok({
      messages: [],
      answer: result.value,
      used,
      wantedTokens: call.route.defaultMaximumTokens,
      target: undefined,
    });
  }

  /** Journals a turn. The caller receives the end of the turn only after this. */
  private async complete(
    call: RunningCall,
    program: ProgramState,
    requestDigest: string,
    result: TurnResult,
  ): Promise<FaultResult<journal.AppendReceipt>> {
    if (!this.isCurrent(call.shard, program)) {
      return trueMyth.Result.err(faults.withRunState(errors.createFault('not-owner'), true));
    }
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
    if (appended.isErr) return appended.mapErr((fault) => faults.withRunState(fault, true));
    if (this.isRecorded(call.shard, program, completed)) return appended;
    // The caller requests the turn again and receives the response that was recorded.
    return trueMyth.Result.err(faults.withRunState(errors.createFault('stream-interrupted'), true));
  }

  /** Whether the journal contains this record of the turn, not the record of an earlier run. */
  private isRecorded(shard: number, program: ProgramState, completed: RecordedTurn): boolean {
    const state = this.options.shards.owned(shard)?.state;
    const current = state?.programs.get(program.program) ?? program;
    return current.turns[completed.turn - 1]?.chainDigest === completed.chainDigest;
  }

  /**
   * Whether the state that the turn started from is still the current one. The shard may have been
   * lost and regained, and another home may have continued the program in between.
   */
  private isCurrent(shard: number, program: ProgramState): boolean {
    return this.options.shards.owned(shard)?.state.programs.get(program.program) === program;
  }

  private attainedBy(program: ProgramState): number {
    return this.attainedSeconds.get(program.program) ?? 0;
  }

  private recordServiceTime(call: RunningCall, { program }: ProgramState, seconds: number): void {
    this.options.scheduler.recordService(call.request.workspace ?? '', seconds);
    this.attainedSeconds.set(program, (this.attainedSeconds.get(program) ?? 0) + seconds);
  }

  private noteTarget(program: string, target: string): void {
    const contacted = this.contactedTargets.get(program) ?? new Set();
    contacted.add(target);
    this.contactedTargets.set(program, contacted);
  }
}
