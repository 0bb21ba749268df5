import type * as clockTypes from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import * as amounts from './amounts.js';
import * as digests from './digests.js';
import * as records from './records.js';
import type { JournalBody, KeyedCall, ProgramState, RecordedTurn, ShardState } from './Types.js';

type BodyOf<Kind extends JournalBody['kind']> = Extract<JournalBody, { kind: Kind }>;

/**
 * Folds the records of a shard into the state of its programs and keyed calls. The fold is
 * deterministic, so every reader of the records reaches the same state.
 */
export class ProgramsFold implements journal.ShardFold<ShardState, JournalBody> {
  public readonly body = records.JOURNAL_BODY;

  public constructor(private readonly clock: clockTypes.Clock) {}

  /** @inheritdoc */
  public createState(): ShardState {
    return {
      ownerIncarnation: undefined,
      programs: new Map(),
      keyedCalls: new Map(),
      quarantined: new Set(),
    };
  }

  /** @inheritdoc */
  public apply(state: ShardState, body: JournalBody, position: journal.RecordPosition): void {
    switch (body.kind) {
      case records.RECORD_KINDS.PROGRAM_OPENED:
        this.open(state, body, position);
        break;
      case records.RECORD_KINDS.RESERVED:
        reserve(programOf(state, body.program, position), body);
        break;
      case records.RECORD_KINDS.TURN_COMPLETED:
        completeTurn(state, body, position);
        break;
      case records.RECORD_KINDS.PROGRAM_ENDED:
        end(state, body, position);
        break;
      case records.RECORD_KINDS.MEMORY_RELEASED:
        state.programs.get(body.program)?.holdings.delete(body.target);
        break;
      case records.RECORD_KINDS.REQUEST_QUARANTINED:
        state.quarantined.add(body.fingerprint);
        break;
      case records.RECORD_KINDS.PROGRAM_SNAPSHOT:
        this.restore(state, body, position);
        break;
      default:
        applyKeyedCall(state, body, position);
    }
  }

  /**
   * Applies the claim of a new owner. Tokens and calls that the former owner had reserved may have
   * been spent, so they are treated as spent, unless the shard was handed over or its owner only
   * renewed the claim.
   */
  public applyClaim(state: ShardState, ownership: journal.Ownership, handedOver: boolean): void {
    const { incarnation } = ownership.owner;
    const isRenewal = state.ownerIncarnation === incarnation;
    state.ownerIncarnation = incarnation;
    if (handedOver || isRenewal) return;
    state.programs.forEach((program) => {
      program.spent = amounts.add(program.spent, program.reserved);
      program.reserved = amounts.NO_AMOUNT;
    });
  }

  /** @inheritdoc */
  public renew(state: ShardState, expiringBelow: number): readonly JournalBody[] {
    const bodies: JournalBody[] = [];
    [...state.programs.values()]
      // State from a record that is not in the log yet has no offset of its own, so it is renewed
      // like the oldest.
      .filter((program) => program.oldestOffset < expiringBelow)
      .forEach((program) => {
        if (isRemovable(program)) state.programs.delete(program.program);
        else bodies.push(this.snapshotProgram(program));
      });
    [...state.keyedCalls.values()]
      .filter((call) => call.oldestOffset < expiringBelow)
      .forEach((call) => {
        if (isStillNeeded(state, call)) bodies.push(snapshotCall(call));
        else state.keyedCalls.delete(call.callKey);
      });
    state.quarantined.forEach((fingerprint) => {
      bodies.push({ kind: records.RECORD_KINDS.REQUEST_QUARANTINED, fingerprint });
    });
    return bodies;
  }

  private open(
    state: ShardState,
    body: BodyOf<'programOpened'>,
    position: journal.RecordPosition,
  ): void {
    if (state.programs.has(body.program)) return;
    const parent = body.parent === undefined ? undefined : state.programs.get(body.parent);
    const limit = parent === undefined ? body.budget : amounts.available(parent);
    const budget = { ...body.budget, ...amounts.minimum(body.budget, limit) };
    state.programs.set(body.program, {
      program: body.program,
      workspace: body.workspace,
      route: body.route,
      parent: body.parent,
      budget,
      openedAt: this.clock.now() - position.ageMs,
      spent: amounts.NO_AMOUNT,
      reserved: amounts.minimum(body.reserved, budget),
      turns: [],
      holdings: new Set(),
      ended: undefined,
      complete: true,
      oldestOffset: position.offset,
    });
    if (parent !== undefined) parent.spent = amounts.add(parent.spent, budget);
  }

  private snapshotProgram(program: ProgramState): JournalBody {
    return {
      kind: records.RECORD_KINDS.PROGRAM_SNAPSHOT,
      program: program.program,
      workspace: program.workspace,
      route: program.route,
      parent: program.parent,
      budget: program.budget,
      ageMs: this.clock.now() - program.openedAt,
      spent: program.spent,
      reserved: program.reserved,
      turns: program.turns,
      complete: program.complete,
      holdings: [...program.holdings],
      ended: program.ended,
    };
  }

  private restore(
    state: ShardState,
    body: BodyOf<'programSnapshot'>,
    position: journal.RecordPosition,
  ): void {
    const known = state.programs.get(body.program);
    if (known?.complete) {
      // The known state already contains everything in the snapshot. It is not replaced, because
      // running turns refer to this object.
      known.oldestOffset = position.offset;
      return;
    }
    state.programs.set(body.program, {
      program: body.program,
      workspace: body.workspace,
      route: body.route,
      parent: body.parent,
      budget: body.budget,
      openedAt: this.clock.now() - position.ageMs - body.ageMs,
      spent: body.spent,
      reserved: body.reserved,
      turns: [...body.turns],
      holdings: new Set(body.holdings),
      ended: body.ended,
      complete: body.complete && isChain(body.turns),
      oldestOffset: position.offset,
    });
  }
}

/**
 * Returns the program of a record. If the program is unknown because its earlier records were lost,
 * adds it as incomplete.
 */
function programOf(state: ShardState, id: string, position: journal.RecordPosition): ProgramState {
  const known = state.programs.get(id);
  if (known !== undefined) return known;
  const program: ProgramState = {
    program: id,
    workspace: undefined,
    route: '',
    parent: undefined,
    budget: { tokens: 0, calls: 0, wallTimeMs: 1 },
    openedAt: 0,
    spent: amounts.NO_AMOUNT,
    reserved: amounts.NO_AMOUNT,
    turns: [],
    holdings: new Set(),
    ended: undefined,
    complete: false,
    oldestOffset: position.offset,
  };
  state.programs.set(id, program);
  return program;
}

/** Applies a reservation, limited to the unspent budget whatever the record contains. */
function reserve(program: ProgramState, body: BodyOf<'reserved'>): void {
  program.spent = amounts.add(program.spent, body.used);
  program.reserved = amounts.minimum(body.reserved, amounts.unspent(program));
}

function completeTurn(
  state: ShardState,
  body: BodyOf<'turnCompleted'>,
  position: journal.RecordPosition,
): void {
  const program = programOf(state, body.program, position);
  const before = program.turns.at(-1);
  // A turn may be run again after its caller was informed that its record may be lost. The first
  // record is the valid one.
  const isRepeat = body.completed.turn <= program.turns.length;
  const follows =
    body.completed.turn === program.turns.length + 1 &&
    body.completed.chainDigest === digests.chainTurn(before, body.completed);
  if (!follows && !isRepeat) program.complete = false;
  if (follows && program.complete) program.turns.push(body.completed);
  if (body.completed.target !== undefined) program.holdings.add(body.completed.target);
  program.spent = amounts.add(program.spent, body.used);
  // If the record is only replicated, its new reservation must not be spent before the log has it.
  program.reserved =
    position.offset < 0
      ? amounts.subtract(program.reserved, body.used)
      : amounts.minimum(body.reserved, amounts.unspent(program));
}

function end(
  state: ShardState,
  body: BodyOf<'programEnded'>,
  position: journal.RecordPosition,
): void {
  const program = programOf(state, body.program, position);
  if (program.ended !== undefined) return;
  program.ended = body.reason;
  program.reserved = amounts.NO_AMOUNT;
  const parent = program.parent === undefined ? undefined : state.programs.get(program.parent);
  if (parent !== undefined) parent.spent = amounts.subtract(parent.spent, body.returned);
}

function applyKeyedCall(
  state: ShardState,
  body: BodyOf<
    'callIntended' | 'callCompleted' | 'callWithdrawn' | 'callResolved' | 'callSnapshot'
  >,
  position: journal.RecordPosition,
): void {
  const known = state.keyedCalls.get(body.callKey);
  switch (body.kind) {
    case records.RECORD_KINDS.CALL_INTENDED:
      // Only the first valid intent for a key takes effect.
      if (known === undefined) state.keyedCalls.set(body.callKey, newCall(body, position.offset));
      break;
    case records.RECORD_KINDS.CALL_SNAPSHOT:
      state.keyedCalls.set(body.callKey, {
        ...newCall(body, position.offset),
        outcome: body.outcome === 'unknown' ? undefined : body.outcome,
        response: body.answer,
      });
      break;
    case records.RECORD_KINDS.CALL_WITHDRAWN:
      if (known?.outcome === undefined) state.keyedCalls.delete(body.callKey);
      break;
    case records.RECORD_KINDS.CALL_RESOLVED:
      resolve(state, known, body.outcome);
      break;
    default:
      if (known === undefined) return;
      known.outcome = records.RESOLUTIONS.RAN;
      known.response = body.answer;
  }
}

/** Applies an operator's resolution. If the call did not run, its key can be used again. */
function resolve(
  state: ShardState,
  known: KeyedCall | undefined,
  outcome: KeyedCall['outcome'],
): void {
  if (known === undefined || known.outcome !== undefined) return;
  if (outcome === records.RESOLUTIONS.NOT_RUN) state.keyedCalls.delete(known.callKey);
  else known.outcome = outcome;
}

function newCall(body: BodyOf<'callIntended'> | BodyOf<'callSnapshot'>, offset: number): KeyedCall {
  return {
    callKey: body.callKey,
    intentId: body.intentId,
    requestDigest: body.requestDigest,
    workspace: body.workspace,
    route: body.route,
    program: body.program,
    turn: body.turn,
    target: body.target,
    idempotencyKey: body.idempotencyKey,
    outcome: undefined,
    response: undefined,
    oldestOffset: offset,
  };
}

function snapshotCall(call: KeyedCall): JournalBody {
  return {
    kind: records.RECORD_KINDS.CALL_SNAPSHOT,
    callKey: call.callKey,
    intentId: call.intentId,
    requestDigest: call.requestDigest,
    workspace: call.workspace,
    route: call.route,
    program: call.program,
    turn: call.turn,
    target: call.target,
    idempotencyKey: call.idempotencyKey,
    outcome: call.outcome === records.RESOLUTIONS.RAN ? records.RESOLUTIONS.RAN : 'unknown',
    answer: call.response,
  };
}

/**
 * Whether the state of a call must be kept: a call in doubt until it is resolved, a call of a
 * program until the program ends.
 */
function isStillNeeded(state: ShardState, call: KeyedCall): boolean {
  const program = call.program === undefined ? undefined : state.programs.get(call.program);
  const isOfLiveProgram = program !== undefined && program.ended === undefined;
  return call.outcome === undefined || isOfLiveProgram;
}

/** Whether an ended program can be removed because no engine holds memory for it. */
function isRemovable(program: ProgramState): boolean {
  return program.ended !== undefined && program.holdings.size === 0;
}

/** Whether the turns are numbered without gaps and each digest matches its predecessor's. */
function isChain(turns: readonly RecordedTurn[]): boolean {
  return turns.every(
    (turn, index) =>
      turn.turn === index + 1 && turn.chainDigest === digests.chainTurn(turns[index - 1], turn),
  );
}
