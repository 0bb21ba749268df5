import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import type * as answerBuffer from './AnswerBuffer.js';
import type { Outcome, ProgramState, RecordedTurn } from './Types.js';

/** How long a turn waits for the turns before it, in milliseconds. */
const HOLE_WAIT_MS = 2_000;

/** The turn of a program that runs now. */
export interface RunningTurn {
  readonly turn: number;
  readonly requestId: string;
  readonly requestDigest: string;
  readonly buffer: answerBuffer.AnswerBuffer;
  readonly controller: AbortController;
}

/** Kinds of place that a call gets in its program. */
export const PLACE_KINDS = { NEXT: 'next', RUNNING: 'running', RECORDED: 'recorded' } as const;

/** Where a call stands in its program. */
export type CallPlace =
  | { readonly kind: typeof PLACE_KINDS.NEXT; readonly running: RunningTurn }
  | { readonly kind: typeof PLACE_KINDS.RUNNING; readonly running: RunningTurn }
  | { readonly kind: typeof PLACE_KINDS.RECORDED; readonly recorded: RecordedTurn };

/** A call that looks for its place. */
export interface PlaceRequest {
  readonly requestId: string;
  /** Nothing for the turn that is next. */
  readonly turn: number | undefined;
  readonly requestDigest: string;
  readonly deadline: clockTypes.Milliseconds;
  /** The program as it is now; a fault when it is not here any more. */
  readonly find: () => Outcome<ProgramState>;
  /** Makes the running turn; called in the same step in which its place is found free. */
  readonly begin: (program: ProgramState, turn: number) => Outcome<RunningTurn>;
}

/** Lets one call of a program run at a time, in the order of turns. */
export class CallOrder {
  private running: RunningTurn | undefined;

  private waiters: (() => void)[] = [];

  public constructor(private readonly clock: clockTypes.Clock) {}

  /** The turn that runs now. */
  public get current(): RunningTurn | undefined {
    return this.running;
  }

  /**
   * Finds a call's place; a call for the next turn waits until no other runs. Faults, all not run:
   * `program-ended`, `history-incomplete`, `turn-mismatch`, `turn-out-of-order`, and those of
   * `find` and `begin`.
   */
  public async place(request: PlaceRequest): Promise<Outcome<CallPlace>> {
    const holeLimit = Math.min(request.deadline, this.clock.now() + HOLE_WAIT_MS);
    for (;;) {
      const program = request.find();
      if (program.isErr) return trueMyth.Result.err(program.error);
      const found = this.findPlace(program.value, request);
      if (found !== undefined) return found;
      const isHole = request.turn !== undefined && request.turn > program.value.turns.length + 1;
      const limit = isHole ? holeLimit : request.deadline;
      if (this.clock.now() >= limit) return trueMyth.Result.err(outOfOrder(program.value));
      await this.nextChange(limit - this.clock.now());
    }
  }

  /** Ends the running turn. */
  public finish(): void {
    this.running = undefined;
    this.wake();
  }

  /** Lets all that wait look again. */
  public wake(): void {
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach((wake) => wake());
  }

  private findPlace(program: ProgramState, request: PlaceRequest): Outcome<CallPlace> | undefined {
    const recorded = findRecorded(program, request);
    if (recorded !== undefined) {
      if (recorded.requestDigest !== request.requestDigest) return mismatch();
      return trueMyth.Result.ok({ kind: PLACE_KINDS.RECORDED, recorded });
    }
    if (program.ended !== undefined) {
      return trueMyth.Result.err(errors.createFault('program-ended'));
    }
    if (!program.complete) return trueMyth.Result.err(incomplete(program));
    const { running } = this;
    if (running !== undefined && isSameCall(running, request)) {
      if (running.requestDigest !== request.requestDigest) return mismatch();
      return trueMyth.Result.ok({ kind: PLACE_KINDS.RUNNING, running });
    }
    const next = program.turns.length + 1;
    if (running !== undefined || (request.turn ?? next) !== next) return undefined;
    return this.begin(program, next, request);
  }

  private begin(program: ProgramState, turn: number, request: PlaceRequest): Outcome<CallPlace> {
    const begun = request.begin(program, turn);
    if (begun.isErr) return trueMyth.Result.err(begun.error);
    this.running = begun.value;
    return trueMyth.Result.ok({ kind: PLACE_KINDS.NEXT, running: begun.value });
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

/** A call without a turn number is known by its request id when it is sent again. */
function isSameCall(running: RunningTurn, request: PlaceRequest): boolean {
  return running.turn === request.turn || running.requestId === request.requestId;
}

function findRecorded(program: ProgramState, request: PlaceRequest): RecordedTurn | undefined {
  if (request.turn !== undefined) return program.turns[request.turn - 1];
  return program.turns.findLast((turn) => turn.requestId === request.requestId);
}

function mismatch(): Outcome<CallPlace> {
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
