import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as journal from '@limpettack/journal';
import * as trueMyth from 'true-myth';
import * as answerBuffer from './AnswerBuffer.js';
import * as answers from './answers.js';
import * as callOrder from './CallOrder.js';
import * as digests from './digests.js';
import * as faults from './faults.js';
import * as messages from './messages.js';
import * as programIds from './programIds.js';
import type * as programTurns from './ProgramTurns.js';
import type * as runningCalls from './RunningCalls.js';
import type * as singleCalls from './SingleCalls.js';
import type {
  CallRequest,
  JournalBody,
  Outcome,
  ProgramState,
  RecordedTurn,
  ShardState,
} from './Types.js';

/** What a home needs to run calls. */
export interface HomeCallsOptions {
  readonly shards: journal.Journal<ShardState, JournalBody>;
  readonly running: runningCalls.RunningCalls;
  readonly turns: programTurns.ProgramTurns;
  readonly singles: singleCalls.SingleCalls;
  readonly clock: clockTypes.Clock;
}

/** Runs the calls of the programs whose shards this process owns, and calls outside programs. */
export class HomeCalls {
  private readonly orders = new Map<string, callOrder.CallOrder>();

  /** Calls of earlier homes that were taken up here. */
  private readonly resumed = new Set<string>();

  public constructor(private readonly options: HomeCallsOptions) {}

  /** How many calls run now. */
  public get runningCount(): number {
    return this.options.running.count;
  }

  /** Finds or starts the call. Faults are not run, unless they say otherwise. */
  public async enter(
    request: CallRequest,
    callerGone: AbortSignal,
  ): Promise<Outcome<answerBuffer.AnswerBuffer>> {
    const { program } = request;
    if (program === undefined) return this.options.singles.enter(request, callerGone);
    return this.enterProgram(request, program);
  }

  /** Whether a call that an earlier home started goes on here. */
  public isResumed(callId: string): boolean {
    return this.resumed.has(callId);
  }

  /** Targets that may hold engine memory for a program since this process runs its calls. */
  public touchedBy(program: string): ReadonlySet<string> {
    return this.options.turns.touchedBy(program);
  }

  /** Waits until a turn that runs now has ended. */
  public async awaitTurn(program: string, turn: number): Promise<void> {
    const running = this.orders.get(program)?.current;
    if (running?.turn === turn) await running.buffer.ended();
  }

  /** Forgets an ended program. */
  public forget(program: string): void {
    this.orders.delete(program);
    this.options.turns.forget(program);
  }

  /** Aborts what runs for a program. */
  public abortProgram(program: string): void {
    this.orders.get(program)?.current?.controller.abort(faults.ABORT_REASONS.PROGRAM_ENDED);
  }

  /** Aborts what runs or waits for a shard that another process owns now. */
  public abortShard(shard: number): void {
    this.options.running.abortShard(shard);
    this.orders.forEach((order, program) => {
      if (this.shardOf(program) !== shard) return;
      order.wake();
      this.options.turns.forget(program);
      if (order.current === undefined) this.orders.delete(program);
    });
  }

  /** Resolves when no call runs here any more, or when the time is up. */
  public untilNone(limitMs: clockTypes.Milliseconds): Promise<void> {
    return this.options.running.untilNone(limitMs);
  }

  /** Aborts all calls, so that entries take them to other homes. */
  public abortAll(): void {
    this.options.running.abortAll();
  }

  private async enterProgram(
    request: CallRequest,
    id: string,
  ): Promise<Outcome<answerBuffer.AnswerBuffer>> {
    const deadline = this.options.clock.now() + request.remainingMs;
    const requestDigest = digests.digestRequest(request);
    const placed = await this.orderOf(id).place({
      requestId: request.requestId,
      turn: request.turn,
      requestDigest,
      deadline,
      find: () => this.findProgram(id, request.workspace),
      begin: (program, turn) => this.begin(request, program, turn, requestDigest, deadline),
    });
    return placed.map((place) =>
      place.kind === callOrder.PLACE_KINDS.RECORDED ? replay(place.recorded) : place.running.buffer,
    );
  }

  private begin(
    request: CallRequest,
    program: ProgramState,
    turn: number,
    requestDigest: string,
    deadline: clockTypes.Milliseconds,
  ): Outcome<callOrder.RunningTurn> {
    const { running, turns } = this.options;
    const shard = this.shardOf(program.program);
    const started = running.start({ request, shard, program, turn, deadline });
    if (started.isErr) return trueMyth.Result.err(started.error);
    const { call, controller } = started.value;
    const order = this.orderOf(program.program);
    const earlier = request.running?.callId;
    if (earlier !== undefined) this.resumed.add(earlier);
    const buffer = new answerBuffer.AnswerBuffer();
    turns
      .run(call, program, requestDigest, buffer)
      .catch(() => buffer.end(faults.faultItem(errors.createFault('internal'))))
      .finally(() => {
        running.finish(controller);
        if (earlier !== undefined) this.resumed.delete(earlier);
        order.finish();
      });
    const { requestId } = request;
    return trueMyth.Result.ok({ turn, requestId, requestDigest, buffer, controller });
  }

  private findProgram(id: string, workspace: string | undefined): Outcome<ProgramState> {
    const owned = this.options.shards.owned(this.shardOf(id));
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

  private shardOf(program: string): number {
    return this.options.shards.shardOf(programIds.rootOf(program));
  }
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
