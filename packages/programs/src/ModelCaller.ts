import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as scheduling from '@limpettack/scheduling';
import * as targets from '@limpettack/targets';
import * as trueMyth from 'true-myth';
import type * as answerBuffer from './AnswerBuffer.js';
import * as backOff from './backOff.js';
import * as faults from './faults.js';
import * as messages from './messages.js';
import type {
  CallRequest,
  ChatMessage,
  DispatchCollaborators,
  Outcome,
  RunningCall,
} from './Types.js';

type ModelRequest = Extract<CallRequest['call'], { kind: 'model' }>;

/** A model call goes to so many targets at most. */
const MAXIMUM_ATTEMPTS = 4;

/** Characters of a token, for estimates before the engine has counted. */
const CHARACTERS_PER_TOKEN = 4;

const MILLISECONDS_PER_SECOND = 1_000;

/** An answer that is taken up again has its place on the engine already. */
const RESUMED_PRIORITY = 0;

const { TARGET_FAILURES } = targets;

/** A model call that is ready to be sent. */
export interface PreparedModelCall {
  readonly call: RunningCall;
  readonly model: ModelRequest;
  /** The whole history, this call's messages included. */
  readonly messages: readonly ChatMessage[];
  readonly maximumTokens: number;
  /** How many tokens one more attempt may generate after earlier ones may have generated so many. */
  readonly allowAfter: (abandonedTokens: number) => Promise<Outcome<number>>;
  readonly fingerprint: string;
  readonly attainedSeconds: number;
  readonly buffer: answerBuffer.AnswerBuffer;
  /** Makes sure, before each dispatch, that this process may still dispatch. */
  readonly confirmAuthority: () => Promise<Outcome<targets.FencingNumber>>;
}

/** What a model call brought. */
export interface ModelAnswer {
  readonly text: string;
  readonly target: string;
  readonly usage: targets.TokenUsage;
  readonly serviceSeconds: number;
}

/** How a model call ended, and what may have been generated on the way. */
export interface ModelEnding {
  readonly result: Outcome<ModelAnswer>;
  /** Whether anything was sent to a target. */
  readonly wasSent: boolean;
  /** Tokens that abandoned attempts may have generated. */
  readonly abandonedTokens: number;
}

/** What one run of a call knows so far. */
interface Attempts {
  readonly excluded: Set<string>;
  readonly texts: string[];
  count: number;
  wasSent: boolean;
  abandonedTokens: number;
  /** What the present attempt may generate. */
  maximumTokens: number;
}

/** Runs a model call on a target, and on another one when the first fails. */
export class ModelCaller {
  public constructor(private readonly options: DispatchCollaborators) {}

  /** Runs the call; the chunks go into its buffer as they come. */
  public async run(prepared: PreparedModelCall): Promise<ModelEnding> {
    const attempts: Attempts = {
      excluded: new Set(),
      texts: [],
      count: 0,
      wasSent: false,
      abandonedTokens: 0,
      maximumTokens: prepared.maximumTokens,
    };
    this.options.retries.noteCall();
    const result = await this.runUntilEnded(prepared, attempts);
    const { wasSent, abandonedTokens } = attempts;
    if (result.isOk) return { result, wasSent, abandonedTokens };
    const fault = faults.withSent(result.error, wasSent);
    return { result: trueMyth.Result.err(fault), wasSent, abandonedTokens };
  }

  private async runUntilEnded(
    prepared: PreparedModelCall,
    attempts: Attempts,
  ): Promise<Outcome<ModelAnswer>> {
    for (;;) {
      if (this.options.crashes.isQuarantined(prepared.fingerprint)) {
        return trueMyth.Result.err(errors.createFault('request-quarantined'));
      }
      const ended = await this.attempt(prepared, attempts);
      if (ended !== undefined) return ended;
      attempts.count += 1;
      const mayRetry = attempts.count < MAXIMUM_ATTEMPTS && this.options.retries.tryRetry();
      if (!mayRetry) return trueMyth.Result.err(errors.createFault('target-failed'));
      await backOff.backOff(attempts.count, this.options, prepared.call.signal);
    }
  }

  /** Runs the call on one target; nothing when another one should be tried. */
  private async attempt(
    prepared: PreparedModelCall,
    attempts: Attempts,
  ): Promise<Outcome<ModelAnswer> | undefined> {
    const { call } = prepared;
    const allowed = await this.allow(prepared, attempts);
    if (allowed !== undefined) return trueMyth.Result.err(allowed);
    const description = describe(prepared, attempts);
    const acquired = await this.acquire(description, call, attempts);
    if (acquired.isErr) return trueMyth.Result.err(acquired.error);
    const slot = acquired.value;
    const begun = this.options.directory.begin(description, slot.target);
    try {
      const authority = await prepared.confirmAuthority();
      if (authority.isErr) return trueMyth.Result.err(authority.error);
      if (call.signal.aborted) {
        return trueMyth.Result.err(faults.faultOfAbort(call.signal, attempts.wasSent));
      }
      return await this.stream(prepared, attempts, slot, authority.value);
    } finally {
      begun.dispose();
      slot.dispose();
    }
  }

  /** Makes sure that the budget bears another attempt beside what earlier ones may have spent. */
  private async allow(
    prepared: PreparedModelCall,
    attempts: Attempts,
  ): Promise<errors.Fault | undefined> {
    if (attempts.abandonedTokens === 0) return undefined;
    const allowed = await prepared.allowAfter(attempts.abandonedTokens);
    if (allowed.isErr) return allowed.error;
    attempts.maximumTokens = allowed.value;
    return undefined;
  }

  /** An answer that still runs on an engine for this turn is taken up where it is. */
  private async acquire(
    description: scheduling.CallDescription,
    call: RunningCall,
    attempts: Attempts,
  ): Promise<Outcome<scheduling.Slot>> {
    const running = resumable(call, attempts);
    if (running === undefined || this.options.directory.find(running.target) === undefined) {
      return this.options.scheduler.acquire(description, call.signal);
    }
    return trueMyth.Result.ok({
      target: running.target,
      priority: RESUMED_PRIORITY,
      dispose: () => undefined,
    });
  }

  private async stream(
    prepared: PreparedModelCall,
    attempts: Attempts,
    slot: scheduling.Slot,
    fencing: targets.FencingNumber,
  ): Promise<Outcome<ModelAnswer> | undefined> {
    const { call, buffer } = prepared;
    const startedAt = this.options.clock.now();
    const modelCall = createModelCall(prepared, slot, fencing, attempts);
    buffer.add({
      kind: messages.ITEM_KINDS.STARTED,
      turn: call.turn,
      target: slot.target,
      callId: modelCall.callId,
    });
    let firstTokenMs: number | undefined;
    let usage: targets.TokenUsage | undefined;
    for await (const piece of this.options.client.runModel(modelCall, call.signal)) {
      if (piece.isErr) return this.fail(prepared, attempts, slot, piece.error, startedAt);
      attempts.wasSent = true;
      firstTokenMs ??= this.options.clock.now() - startedAt;
      usage = piece.value.usage ?? usage;
      if (!deliver(piece.value, attempts, buffer)) {
        attempts.abandonedTokens += attempts.maximumTokens;
        return trueMyth.Result.err(errors.createFault('stream-interrupted'));
      }
    }
    const totalMs = this.options.clock.now() - startedAt;
    this.options.crashes.noteCompleted(prepared.fingerprint);
    const counted = usage ?? estimateUsage(prepared, attempts);
    this.options.directory.report({
      target: slot.target,
      firstTokenMs: firstTokenMs ?? totalMs,
      totalMs,
      usage: counted,
    });
    return trueMyth.Result.ok({
      text: attempts.texts.join(''),
      target: slot.target,
      usage: counted,
      serviceSeconds: totalMs / MILLISECONDS_PER_SECOND,
    });
  }

  /** Decides after a failure: a fault, or nothing when another target should be tried. */
  private fail(
    prepared: PreparedModelCall,
    attempts: Attempts,
    slot: scheduling.Slot,
    failure: targets.TargetFailure,
    startedAt: clockTypes.Milliseconds,
  ): Outcome<ModelAnswer> | undefined {
    const totalMs = this.options.clock.now() - startedAt;
    attempts.excluded.add(slot.target);
    if (failure.kind === TARGET_FAILURES.CANCELLED || prepared.call.signal.aborted) {
      attempts.wasSent = true;
      attempts.abandonedTokens += attempts.maximumTokens;
      return trueMyth.Result.err(faults.faultOfAbort(prepared.call.signal, true));
    }
    this.options.directory.report({
      target: slot.target,
      failure: failure.kind,
      totalMs,
      ...(failure.status === undefined ? {} : { status: failure.status }),
    });
    if (failure.kind === TARGET_FAILURES.NOT_SENT) return undefined;
    attempts.wasSent = true;
    if (failure.kind === TARGET_FAILURES.FENCED) {
      return trueMyth.Result.err(errors.createFault('not-owner'));
    }
    attempts.abandonedTokens += attempts.maximumTokens;
    if (failure.kind === TARGET_FAILURES.DIED) {
      this.options.crashes.noteDeath(prepared.fingerprint, slot.target, startedAt);
    }
    if (isCallersFault(failure)) {
      return trueMyth.Result.err(errors.createFault('bad-request', failure.message));
    }
    return undefined;
  }
}

/** Adds a chunk, unless an earlier attempt delivered the same; false when it differs from that. */
function deliver(
  chunk: targets.ModelChunk,
  attempts: Attempts,
  buffer: answerBuffer.AnswerBuffer,
): boolean {
  const delivered = attempts.texts[chunk.index];
  if (delivered !== undefined) return delivered === chunk.text;
  attempts.texts.push(chunk.text);
  buffer.add({ kind: messages.ITEM_KINDS.CHUNK, index: chunk.index, data: chunk.data });
  return true;
}

function createModelCall(
  prepared: PreparedModelCall,
  slot: scheduling.Slot,
  fencing: targets.FencingNumber,
  attempts: Attempts,
): targets.ModelCall {
  const { call, model } = prepared;
  const running = resumable(call, attempts);
  const isResumed = running?.target === slot.target;
  return {
    callId: isResumed ? running.callId : `${call.callId}:${attempts.count}`,
    // An engine keeps nothing for a call outside a program.
    program: call.request.program ?? '',
    pool: call.pool.name,
    target: slot.target,
    parameters: { ...model.parameters, ...(call.pool.model ? { model: call.pool.model } : {}) },
    messages: prepared.messages,
    maximumTokens: attempts.maximumTokens,
    priority: slot.priority,
    fencing,
    ...(isResumed ? { resumeAfter: 0 } : {}),
  };
}

/** The engine's answer that an earlier home had started for this very turn. */
function resumable(call: RunningCall, attempts: Attempts): CallRequest['running'] {
  const { running, program } = call.request;
  if (running === undefined || program === undefined || attempts.count > 0) return undefined;
  return running.callId.startsWith(`${program}:${call.turn}:`) ? running : undefined;
}

function describe(prepared: PreparedModelCall, attempts: Attempts): scheduling.CallDescription {
  const { call } = prepared;
  return {
    callId: call.callId,
    pool: call.pool.name,
    workspace: call.request.workspace ?? '',
    program: call.request.program ?? call.callId,
    promptTokens: estimateTokens(prepared.messages),
    expectedTokens: attempts.maximumTokens,
    attainedSeconds: prepared.attainedSeconds,
    deadline: call.deadline,
    excluded: attempts.excluded,
  };
}

function estimateTokens(history: readonly ChatMessage[]): number {
  const characters = history.reduce((total, message) => total + message.content.length, 0);
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

function estimateUsage(prepared: PreparedModelCall, attempts: Attempts): targets.TokenUsage {
  return {
    promptTokens: estimateTokens(prepared.messages),
    generatedTokens: attempts.texts.length,
    cachedTokens: 0,
  };
}

function isCallersFault(failure: targets.TargetFailure): boolean {
  const status = failure.status ?? 0;
  return (
    failure.kind === TARGET_FAILURES.REFUSED && status >= 400 && status < 500 && status !== 429
  );
}
