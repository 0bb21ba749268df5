import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as scheduling from '@limpettack/scheduling';
import * as targets from '@limpettack/targets';
import * as trueMyth from 'true-myth';
import type * as responseBuffer from './ResponseBuffer.js';
import * as backOff from './backOff.js';
import * as faults from './faults.js';
import * as messages from './messages.js';
import type {
  CallRequest,
  ChatMessage,
  DispatchDependencies,
  FaultResult,
  RunningCall,
} from './Types.js';

type ModelRequest = Extract<CallRequest['call'], { kind: 'model' }>;

/** Maximum number of targets that a model call is sent to. */
const MAXIMUM_ATTEMPTS = 4;

/** Characters per token, for estimates without the engine's token count. */
const CHARACTERS_PER_TOKEN = 4;

const MILLISECONDS_PER_SECOND = 1_000;

/** Priority of a resumed response, which already has its slot on the engine. */
const RESUMED_PRIORITY = 0;

const { TARGET_FAILURES } = targets;

/** A model call that is ready to be sent. */
export interface PreparedModelCall {
  readonly call: RunningCall;
  readonly model: ModelRequest;
  /** The complete history, including the messages of this call. */
  readonly messages: readonly ChatMessage[];
  readonly maximumTokens: number;
  /**
   * Reserves budget for a further attempt, given the number of tokens that abandoned attempts may
   * have generated. Returns the maximum number of tokens that the attempt may generate.
   */
  readonly reserveRetry: (abandonedTokens: number) => Promise<FaultResult<number>>;
  readonly fingerprint: string;
  readonly attainedSeconds: number;
  readonly buffer: responseBuffer.ResponseBuffer;
  /** Confirms before each dispatch that this process is still allowed to dispatch. */
  readonly confirmAuthority: () => Promise<FaultResult<targets.FencingNumber>>;
}

/** The complete response to a model call. */
export interface ModelResponse {
  readonly text: string;
  readonly target: string;
  readonly usage: targets.TokenUsage;
  readonly serviceSeconds: number;
}

/** The result of a model call and the tokens that its failed attempts may have generated. */
export interface ModelRunResult {
  readonly result: FaultResult<ModelResponse>;
  /** Whether anything was sent to a target. */
  readonly wasSent: boolean;
  /** Tokens that abandoned attempts may have generated. */
  readonly abandonedTokens: number;
}

/** The state of the attempts of one call. */
interface Attempts {
  readonly excluded: Set<string>;
  readonly deliveredTexts: string[];
  count: number;
  wasSent: boolean;
  abandonedTokens: number;
  /** Maximum number of tokens that the current attempt may generate. */
  maximumTokens: number;
}

/** Runs a model call on a target and, if that fails, on other targets. */
export class ModelCaller {
  public constructor(private readonly options: DispatchDependencies) {}

  /** Runs the call and adds its chunks to its buffer as they arrive. */
  public async run(prepared: PreparedModelCall): Promise<ModelRunResult> {
    const attempts: Attempts = {
      excluded: new Set(),
      deliveredTexts: [],
      count: 0,
      wasSent: false,
      abandonedTokens: 0,
      maximumTokens: prepared.maximumTokens,
    };
    this.options.retries.noteCall();
    const result = await this.runUntilEnded(prepared, attempts);
    const { wasSent, abandonedTokens } = attempts;
    if (result.isOk) return { result, wasSent, abandonedTokens };
    const fault = faults.withRunState(result.error, wasSent);
    return { result: trueMyth.Result.err(fault), wasSent, abandonedTokens };
  }

  private async runUntilEnded(
    prepared: PreparedModelCall,
    attempts: Attempts,
  ): Promise<FaultResult<ModelResponse>> {
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

  /** Runs the call on one target; undefined when another target should be tried. */
  private async attempt(
    prepared: PreparedModelCall,
    attempts: Attempts,
  ): Promise<FaultResult<ModelResponse> | undefined> {
    const { call } = prepared;
    const refused = await this.reserveForRetry(prepared, attempts);
    if (refused !== undefined) return trueMyth.Result.err(refused);
    const description = describe(prepared, attempts);
    const acquired = await this.acquire(description, call, attempts);
    if (acquired.isErr) return trueMyth.Result.err(acquired.error);
    const slot = acquired.value;
    const activeCall = this.options.directory.begin(description, slot.target);
    try {
      const authority = await prepared.confirmAuthority();
      if (authority.isErr) return trueMyth.Result.err(authority.error);
      if (call.signal.aborted) {
        return trueMyth.Result.err(faults.faultOfAbort(call.signal, attempts.wasSent));
      }
      return await this.stream(prepared, attempts, slot, authority.value);
    } finally {
      activeCall.dispose();
      slot.dispose();
    }
  }

  /** Reserves budget for a further attempt if abandoned attempts may have generated tokens. */
  private async reserveForRetry(
    prepared: PreparedModelCall,
    attempts: Attempts,
  ): Promise<errors.Fault | undefined> {
    if (attempts.abandonedTokens === 0) return undefined;
    const allowed = await prepared.reserveRetry(attempts.abandonedTokens);
    if (allowed.isErr) return allowed.error;
    attempts.maximumTokens = allowed.value;
    return undefined;
  }

  /**
   * Acquires a slot on a target. A response still running on an engine is resumed on that target.
   */
  private async acquire(
    description: scheduling.CallDescription,
    call: RunningCall,
    attempts: Attempts,
  ): Promise<FaultResult<scheduling.Slot>> {
    const running = findResumable(call, attempts);
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
  ): Promise<FaultResult<ModelResponse> | undefined> {
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
    for await (const chunk of this.options.client.runModel(modelCall, call.signal)) {
      if (chunk.isErr) return this.handleFailure(prepared, attempts, slot, chunk.error, startedAt);
      attempts.wasSent = true;
      firstTokenMs ??= this.options.clock.now() - startedAt;
      usage = chunk.value.usage ?? usage;
      if (!addChunk(chunk.value, attempts, buffer)) {
        attempts.abandonedTokens += attempts.maximumTokens;
        return trueMyth.Result.err(errors.createFault('stream-interrupted'));
      }
    }
    const totalMs = this.options.clock.now() - startedAt;
    this.options.crashes.noteCompleted(prepared.fingerprint);
    const finalUsage = usage ?? estimateUsage(prepared, attempts);
    this.options.directory.report({
      target: slot.target,
      firstTokenMs: firstTokenMs ?? totalMs,
      totalMs,
      usage: finalUsage,
    });
    return trueMyth.Result.ok({
      text: attempts.deliveredTexts.join(''),
      target: slot.target,
      usage: finalUsage,
      serviceSeconds: totalMs / MILLISECONDS_PER_SECOND,
    });
  }

  /**
   * Handles a failed attempt: returns a fault, or undefined when another target should be tried.
   */
  private handleFailure(
    prepared: PreparedModelCall,
    attempts: Attempts,
    slot: scheduling.Slot,
    failure: targets.TargetFailure,
    startedAt: clockTypes.Milliseconds,
  ): FaultResult<ModelResponse> | undefined {
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
      this.options.crashes.noteCrash(prepared.fingerprint, slot.target, startedAt);
    }
    if (isCallerError(failure)) {
      return trueMyth.Result.err(errors.createFault('bad-request', failure.message));
    }
    return undefined;
  }
}

/**
 * Adds a chunk to the buffer unless an earlier attempt delivered it. Returns false when it differs
 * from the chunk that was delivered under the same index.
 */
function addChunk(
  chunk: targets.ModelChunk,
  attempts: Attempts,
  buffer: responseBuffer.ResponseBuffer,
): boolean {
  const delivered = attempts.deliveredTexts[chunk.index];
  if (delivered !== undefined) return delivered === chunk.text;
  attempts.deliveredTexts.push(chunk.text);
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
  const running = findResumable(call, attempts);
  const isResumed = running?.target === slot.target;
  return {
    callId: isResumed ? running.callId : `${call.callId}:${attempts.count}`,
    // An engine caches nothing for a call outside a program.
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

/**
 * The response for this turn that an earlier home started and that still runs on an engine.
 * Undefined if there is none, or after the first attempt.
 */
function findResumable(call: RunningCall, attempts: Attempts): CallRequest['running'] {
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
    generatedTokens: attempts.deliveredTexts.length,
    cachedTokens: 0,
  };
}

/** Whether the target rejected the request as invalid, so that a retry cannot succeed. */
function isCallerError(failure: targets.TargetFailure): boolean {
  const status = failure.status ?? 0;
  return (
    failure.kind === TARGET_FAILURES.REFUSED && status >= 400 && status < 500 && status !== 429
  );
}
