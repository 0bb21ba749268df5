import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import type * as scheduling from '@limpettack/scheduling';
import type * as targets from '@limpettack/targets';
import * as trueMyth from 'true-myth';
import type * as answerBuffer from './AnswerBuffer.js';
import * as answers from './answers.js';
import type * as authorities from './Authority.js';
import * as completions from './completions.js';
import * as digests from './digests.js';
import * as faults from './faults.js';
import * as messages from './messages.js';
import type * as modelCaller from './ModelCaller.js';
import * as records from './records.js';
import type * as reservations from './Reservations.js';
import type * as serviceRuns from './ServiceRuns.js';
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

type ModelRequest = Extract<CallRequest['call'], { kind: 'model' }>;
type ServiceRequest = Extract<CallRequest['call'], { kind: 'service' }>;

/** What turns need. */
export interface ProgramTurnsOptions {
  readonly shards: journal.Journal<ShardState, JournalBody>;
  readonly scheduler: scheduling.Scheduler;
  readonly directory: targets.TargetDirectory;
  readonly models: modelCaller.ModelCaller;
  readonly services: serviceRuns.ServiceRuns;
  readonly reservations: reservations.Reservations;
  readonly authority: authorities.Authority;
}

/** What a turn brought, before it is journaled. */
interface TurnResult {
  readonly messages: readonly ChatMessage[];
  readonly answer: RecordedAnswer;
  readonly used: Amount;
  readonly wantedTokens: number;
  readonly target: string | undefined;
}

/** Runs the turns of programs: within the budget, and journaled before they count as ended. */
export class ProgramTurns {
  /** Service that each program has had, in seconds of a target's slot. */
  private readonly attained = new Map<string, number>();

  /** Targets that a program's calls went to, whether or not the journal says so. */
  private readonly touched = new Map<string, Set<string>>();

  public constructor(private readonly options: ProgramTurnsOptions) {}

  /** Targets that may hold engine memory for a program since this process runs its calls. */
  public touchedBy(program: string): ReadonlySet<string> {
    return this.touched.get(program) ?? new Set();
  }

  /** Forgets an ended program. */
  public forget(program: string): void {
    this.touched.delete(program);
    this.attained.delete(program);
    this.options.reservations.forget(program);
  }

  /** Runs a turn; its answer goes into the buffer as it comes. */
  public async run(
    call: RunningCall,
    program: ProgramState,
    requestDigest: string,
    buffer: answerBuffer.AnswerBuffer,
  ): Promise<void> {
    const { call: asked } = call.request;
    const result =
      asked.kind === configuration.CALL_KINDS.MODEL
        ? await this.runModel(call, program, asked, buffer)
        : await this.runService(call, program, asked);
    const ended = result.isOk
      ? await this.complete(call, program, requestDigest, result.value)
      : trueMyth.Result.err<journal.AppendReceipt, errors.Fault>(result.error);
    if (ended.isErr) {
      // What the turn has generated counts, although its record may not. One that came second to
      // another record of the turn has been counted with it.
      const isCounted = ended.error.kind === 'stream-interrupted';
      if (result.isOk && !isCounted && this.isCurrent(call.shard, program)) {
        await this.options.reservations.settle(call.shard, program, result.value.used);
      }
      buffer.end(faults.faultItem(ended.error));
      return;
    }
    if (result.isOk && asked.kind === configuration.CALL_KINDS.SERVICE) {
      answers.itemsOfAnswer(result.value.answer).forEach((item) => buffer.add(item));
    }
    const { durability } = ended.value;
    buffer.end({ kind: messages.ITEM_KINDS.FINISHED, turn: call.turn, durability });
  }

  private async runModel(
    call: RunningCall,
    program: ProgramState,
    model: ModelRequest,
    buffer: answerBuffer.AnswerBuffer,
  ): Promise<Outcome<TurnResult>> {
    const { reservations: kept, directory } = this.options;
    const wantedTokens = model.maximumTokens ?? call.route.defaultMaximumTokens;
    const reserved = await kept.reserve(call.shard, program, wantedTokens);
    if (reserved.isErr) return trueMyth.Result.err(reserved.error);
    buffer.onStarted = (target) => this.touch(program.program, target);
    const ending = await this.options.models.run({
      call,
      model,
      messages: [...program.turns.flatMap((turn) => turn.messages), ...model.messages],
      maximumTokens: reserved.value,
      allowAfter: (abandoned) => kept.reserveAfter(call.shard, program, abandoned, wantedTokens),
      fingerprint: digests.fingerprintRequest(call.request),
      attainedSeconds: this.attainedBy(program),
      buffer,
      confirmAuthority: () => this.options.authority.confirmRepeatable(call.shard),
    });
    const { result, wasSent, abandonedTokens } = ending;
    if (result.isErr) {
      if (wasSent) await kept.settle(call.shard, program, { tokens: abandonedTokens, calls: 1 });
      return trueMyth.Result.err(result.error);
    }
    const { target, usage, serviceSeconds } = result.value;
    this.noteService(call, program, serviceSeconds);
    directory.noteCached(target, program.program, usage.promptTokens + usage.generatedTokens);
    const chunks = buffer.chunks();
    return trueMyth.Result.ok({
      messages: [...model.messages, completions.assistantMessage(chunks)],
      answer: answers.recordModel(chunks),
      used: { tokens: usage.generatedTokens + abandonedTokens, calls: 1 },
      wantedTokens,
      target,
    });
  }

  private async runService(
    call: RunningCall,
    program: ProgramState,
    service: ServiceRequest,
  ): Promise<Outcome<TurnResult>> {
    const { reservations: kept } = this.options;
    const used = { tokens: 0, calls: 1 };
    const reserved = await kept.reserve(call.shard, program, 0);
    if (reserved.isErr) return trueMyth.Result.err(reserved.error);
    const result = await this.options.services.run(call, service, this.attainedBy(program));
    if (result.isErr) {
      const wasSent = result.error.run !== errors.RUN_STATES.NOT_RUN;
      if (wasSent) await kept.settle(call.shard, program, used);
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

  /** Journals a turn; only then is the caller told that it has ended. */
  private async complete(
    call: RunningCall,
    program: ProgramState,
    requestDigest: string,
    result: TurnResult,
  ): Promise<Outcome<journal.AppendReceipt>> {
    if (!this.isCurrent(call.shard, program)) {
      return trueMyth.Result.err(faults.withSent(errors.createFault('not-owner'), true));
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
    if (appended.isErr) return appended.mapErr((fault) => faults.withSent(fault, true));
    if (this.isRecorded(call.shard, program, completed)) return appended;
    // The caller fetches the turn again and receives the answer that counts.
    return trueMyth.Result.err(faults.withSent(errors.createFault('stream-interrupted'), true));
  }

  /** Whether this record of the turn counts, and not one of an earlier run of it. */
  private isRecorded(shard: number, program: ProgramState, completed: RecordedTurn): boolean {
    const state = this.options.shards.owned(shard)?.state;
    const current = state?.programs.get(program.program) ?? program;
    return current.turns[completed.turn - 1]?.chainDigest === completed.chainDigest;
  }

  /** The shard may have been lost and won again; another home may have gone on meanwhile. */
  private isCurrent(shard: number, program: ProgramState): boolean {
    return this.options.shards.owned(shard)?.state.programs.get(program.program) === program;
  }

  private attainedBy(program: ProgramState): number {
    return this.attained.get(program.program) ?? 0;
  }

  private noteService(call: RunningCall, { program }: ProgramState, seconds: number): void {
    this.options.scheduler.recordService(call.request.workspace ?? '', seconds);
    this.attained.set(program, (this.attained.get(program) ?? 0) + seconds);
  }

  private touch(program: string, target: string): void {
    const touched = this.touched.get(program) ?? new Set();
    touched.add(target);
    this.touched.set(program, touched);
  }
}
