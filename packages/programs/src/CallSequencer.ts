import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import type * as responseBuffer from './ResponseBuffer.js';
import type { FaultResult, ProgramState, RecordedTurn } from './Types.js';

/** Maximum time that a turn waits for missing earlier turns, in milliseconds. */
const GAP_TIMEOUT_MS = 2_000;

/** A program's turn that is in progress. */
export interface RunningTurn {
  readonly turn: number;
  readonly requestId: string;
  readonly requestDigest: string;
  readonly buffer: responseBuffer.ResponseBuffer;
  readonly controller: AbortController;
}

/** Kinds of position that a call can have in its program. */
export const POSITION_KINDS = { NEXT: 'next', RUNNING: 'running', RECORDED: 'recorded' } as const;

/** The position of a call in its program: newly started, already running or already recorded. */
export type CallPosition =
  | { readonly kind: typeof POSITION_KINDS.NEXT; readonly running: RunningTurn }
  | { readonly kind: typeof POSITION_KINDS.RUNNING; readonly running: RunningTurn }
  | { readonly kind: typeof POSITION_KINDS.RECORDED; readonly recorded: RecordedTurn };

/** A request to find the position of a call. */
export interface PositionRequest {
  readonly requestId: string;
  /** Undefined for the next turn, whichever number it has. */
  readonly turn: number | undefined;
  readonly requestDigest: string;
  readonly deadline: clockTypes.Milliseconds;
  /** Returns the current state of the program, or a fault if this process no longer owns it. */
  readonly find: () => FaultResult<ProgramState>;
  /** Starts the turn. Called synchronously after the check that no other turn is running. */
  readonly begin: (program: ProgramState, turn: number) => FaultResult<RunningTurn>;
}

/** Serializes the calls of a program in the order of their turns. */
export class CallSequencer {
  private running: RunningTurn | undefined;

  private waiters: (() => void)[] = [];

  public constructor(private readonly clock: clockTypes.Clock) {}

  /** The turn in progress, if there is one. */
  public get current(): RunningTurn | undefined {
    return this.running;
  }

  /**
   * Finds the position of a call. A call for the next turn waits until no other call runs. Faults,
   * all not run: `program-ended`, `history-incomplete`, `turn-mismatch`, `turn-out-of-order`, and
   * those of `find` and `begin`.
   */
  public async findPosition(request: PositionRequest): Promise<FaultResult<CallPosition>> {
    const gapDeadline = Math.min(request.deadline, this.clock.now() + GAP_TIMEOUT_MS);
    for (;;) {
      const program = request.find();
      if (program.isErr) return trueMyth.Result.err(program.error);
      const found = this.tryFindPosition(program.value, request);
      if (found !== undefined) return found;
      const isAfterGap =
        request.turn !== undefined && request.turn > program.value.turns.length + 1;
      const deadline = isAfterGap ? gapDeadline : request.deadline;
      if (this.clock.now() >= deadline) return trueMyth.Result.err(outOfOrder(program.value));
      await this.nextChange(deadline - this.clock.now());
    }
  }

  /** Marks the running turn as ended and wakes waiting calls. */
  public finish(): void {
    this.running = undefined;
    this.wake();
  }

  /** Makes all waiting calls check their position again. */
  public wake(): void {
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach((wake) => wake());
  }

  private tryFindPosition(
    program: ProgramState,
    request: PositionRequest,
  ): FaultResult<CallPosition> | undefined {
    const recorded = findRecorded(program, request);
    if (recorded !== undefined) {
      if (recorded.requestDigest !== request.requestDigest) return mismatch();
      return trueMyth.Result.ok({ kind: POSITION_KINDS.RECORDED, recorded });
    }
    if (program.ended !== undefined) {
      return trueMyth.Result.err(errors.createFault('program-ended'));
    }
    if (!program.complete) return trueMyth.Result.err(incomplete(program));
    const { running } = this;
    if (running !== undefined && isSameCall(running, request)) {
      if (running.requestDigest !== request.requestDigest) return mismatch();
      return trueMyth.Result.ok({ kind: POSITION_KINDS.RUNNING, running });
    }
    const next = program.turns.length + 1;
    if (running !== undefined || (request.turn ?? next) !== next) return undefined;
    return this.begin(program, next, request);
  }

  private begin(
    program: ProgramState,
    turn: number,
    request: PositionRequest,
  ): FaultResult<CallPosition> {
    const begun = request.begin(program, turn);
    if (begun.isErr) return trueMyth.Result.err(begun.error);
    this.running = begun.value;
    return trueMyth.Result.ok({ kind: POSITION_KINDS.NEXT, running: begun.value });
  }

  private async nextChange(limitMs: clockTypes.Milliseconds): Promise<void> {
    const controller = new AbortController();
    await Promise.race([
      this.clock.sleep(limitMs, controller.signal),
      new Promise<void>((resolve) => {
        this.waiters.push(resolve);
      }),
    ]);
    controller.abort();
  }
}

/**
 * Whether a request repeats the running call: it has the same turn number or the same request id.
 */
function isSameCall(running: RunningTurn, request: PositionRequest): boolean {
  return running.turn === request.turn || running.requestId === request.requestId;
}

function findRecorded(program: ProgramState, request: PositionRequest): RecordedTurn | undefined {
  if (request.turn !== undefined) return program.turns[request.turn - 1];
  return program.turns.findLast((turn) => turn.requestId === request.requestId);
}

function mismatch(): FaultResult<CallPosition> {
  return trueMyth.Result.err(errors.createFault('turn-mismatch'));
}

function outOfOrder(program: ProgramState): errors.Fault {
  return errors.createFault('turn-out-of-order', undefined, {
    details: { lastTurn: program.turns.length },
  });
}

function incomplete(program: ProgramState): errors.Fault {
  return errors.createFault('history-incomplete', undefined, {
    details: { lastTurn: program.turns.length },
  });
}
