import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as journal from '@limpettack/journal';
import * as trueMyth from 'true-myth';
import * as responseBuffer from './ResponseBuffer.js';
import * as responses from './responses.js';
import * as callSequencer from './CallSequencer.js';
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
  FaultResult,
  ProgramState,
  RecordedTurn,
  ShardState,
} from './Types.js';

/** Dependencies of `HomeCalls`. */
export interface HomeCallsOptions {
  readonly shards: journal.Journal<ShardState, JournalBody>;
  readonly running: runningCalls.RunningCalls;
  readonly turns: programTurns.ProgramTurns;
  readonly singleCalls: singleCalls.SingleCalls;
  readonly clock: clockTypes.Clock;
}

/** Runs the calls of the programs whose shards this process owns, and calls outside programs. */
export class HomeCalls {
  /** The call order of each program with recent calls, by program. */
  private readonly orders = new Map<string, callSequencer.CallSequencer>();

  /** Ids of calls that an earlier home started and that are resumed here. */
  private readonly resumed = new Set<string>();

  public constructor(private readonly options: HomeCallsOptions) {}

  /** Number of calls in progress. */
  public get runningCount(): number {
    return this.options.running.count;
  }

  /**
   * Returns the response of a call that is running or recorded, otherwise starts the call. Faults
   * mean that the call was not run, unless they state otherwise.
   */
  public async findOrStart(
    request: CallRequest,
    callerGone: AbortSignal,
  ): Promise<FaultResult<responseBuffer.ResponseBuffer>> {
    const { program } = request;
    if (program === undefined) return this.options.singleCalls.findOrStart(request, callerGone);
    return this.findOrStartTurn(request, program);
  }

  /** Whether a call that an earlier home started is being resumed here. */
  public isResumed(callId: string): boolean {
    return this.resumed.has(callId);
  }

  /**
   * Targets to which this process has sent calls of a program, so that they may hold engine memory
   * for it.
   */
  public targetsOf(program: string): ReadonlySet<string> {
    return this.options.turns.targetsOf(program);
  }

  /** If a turn is in progress, waits until it has ended. */
  public async awaitTurn(program: string, turn: number): Promise<void> {
    const running = this.orders.get(program)?.current;
    if (running?.turn === turn) await running.buffer.ended();
  }

  /** Discards the data of an ended program. */
  public discardProgram(program: string): void {
    this.orders.delete(program);
    this.options.turns.discardProgram(program);
  }

  /** Aborts the running call of a program. */
  public abortProgram(program: string): void {
    this.orders.get(program)?.current?.controller.abort(faults.ABORT_REASONS.PROGRAM_ENDED);
  }

  /**
   * Aborts the running calls of a shard that another process owns now, and wakes the waiting ones.
   */
  public abortShard(shard: number): void {
    this.options.running.abortShard(shard);
    this.orders.forEach((order, program) => {
      if (this.shardOf(program) !== shard) return;
      order.wake();
      this.options.turns.discardProgram(program);
      if (order.current === undefined) this.orders.delete(program);
    });
  }

  /** Resolves when no call is in progress, or after the time limit. */
  public waitUntilIdle(limitMs: clockTypes.Milliseconds): Promise<void> {
    return this.options.running.waitUntilIdle(limitMs);
  }

  /** Aborts all calls, so that entries send them to other homes. */
  public abortAll(): void {
    this.options.running.abortAll();
  }

  private async findOrStartTurn(
    request: CallRequest,
    id: string,
  ): Promise<FaultResult<responseBuffer.ResponseBuffer>> {
    const deadline = this.options.clock.now() + request.remainingMs;
    const requestDigest = digests.digestRequest(request);
    const found = await this.orderOf(id).findPosition({
      requestId: request.requestId,
      turn: request.turn,
      requestDigest,
      deadline,
      find: () => this.findProgram(id, request.workspace),
      begin: (program, turn) => this.begin(request, program, turn, requestDigest, deadline),
    });
    return found.map((position) =>
      position.kind === callSequencer.POSITION_KINDS.RECORDED
        ? replay(position.recorded)
        : position.running.buffer,
    );
  }

  private begin(
    request: CallRequest,
    program: ProgramState,
    turn: number,
    requestDigest: string,
    deadline: clockTypes.Milliseconds,
  ): FaultResult<callSequencer.RunningTurn> {
    const { running, turns } = this.options;
    const shard = this.shardOf(program.program);
    const started = running.start({ request, shard, program, turn, deadline });
    if (started.isErr) return trueMyth.Result.err(started.error);
    const { call, controller } = started.value;
    const order = this.orderOf(program.program);
    const resumedCallId = request.running?.callId;
    if (resumedCallId !== undefined) this.resumed.add(resumedCallId);
    const buffer = new responseBuffer.ResponseBuffer();
    turns
      .run(call, program, requestDigest, buffer)
      .catch(() => buffer.end(faults.faultItem(errors.createFault('internal'))))
      .finally(() => {
        running.finish(controller);
        if (resumedCallId !== undefined) this.resumed.delete(resumedCallId);
        order.finish();
      });
    const { requestId } = request;
    return trueMyth.Result.ok({ turn, requestId, requestDigest, buffer, controller });
  }

  private findProgram(id: string, workspace: string | undefined): FaultResult<ProgramState> {
    const owned = this.options.shards.owned(this.shardOf(id));
    if (owned === undefined) return trueMyth.Result.err(errors.createFault('not-owner'));
    const program = owned.state.programs.get(id);
    if (program === undefined || program.workspace !== workspace) {
      return trueMyth.Result.err(errors.createFault('program-unknown'));
    }
    return trueMyth.Result.ok(program);
  }

  private orderOf(id: string): callSequencer.CallSequencer {
    const known = this.orders.get(id);
    if (known !== undefined) return known;
    const order = new callSequencer.CallSequencer(this.options.clock);
    this.orders.set(id, order);
    return order;
  }

  private shardOf(program: string): number {
    return this.options.shards.shardOf(programIds.rootOf(program));
  }
}

/** Creates a buffer with the recorded response of a completed turn. */
function replay(recorded: RecordedTurn): responseBuffer.ResponseBuffer {
  const buffer = new responseBuffer.ResponseBuffer();
  responses.itemsOfResponse(recorded.answer).forEach((item) => buffer.add(item));
  buffer.end({
    kind: messages.ITEM_KINDS.FINISHED,
    turn: recorded.turn,
    durability: journal.DURABILITIES.JOURNALED,
  });
  return buffer;
}
