import type * as clockTypes from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as journal from '@limpettack/journal';
import type * as scheduling from '@limpettack/scheduling';
import * as trueMyth from 'true-myth';
import * as answerBuffer from './AnswerBuffer.js';
import * as answers from './answers.js';
import type * as authorities from './Authority.js';
import * as digests from './digests.js';
import * as faults from './faults.js';
import * as messages from './messages.js';
import type * as modelCaller from './ModelCaller.js';
import * as runningCalls from './RunningCalls.js';
import * as serviceRuns from './ServiceRuns.js';
import type { CallRequest, Outcome, RunningCall } from './Types.js';

/** What calls outside programs need. */
export interface SingleCallsOptions {
  readonly running: runningCalls.RunningCalls;
  readonly shardOf: (callKey: string) => number;
  readonly models: modelCaller.ModelCaller;
  readonly services: serviceRuns.ServiceRuns;
  readonly authority: authorities.Authority;
  readonly scheduler: scheduling.Scheduler;
  readonly clock: clockTypes.Clock;
}

/** A keyed call that runs now. */
interface RunningKeyedCall {
  readonly requestDigest: string;
  readonly buffer: answerBuffer.AnswerBuffer;
}

/** Runs calls outside programs: nothing of them is kept but the outcome of keyed ones. */
export class SingleCalls {
  /** Keyed calls that run now, by call key. */
  private readonly keyed = new Map<string, RunningKeyedCall>();

  public constructor(private readonly options: SingleCallsOptions) {}

  /** Finds or starts the call. Faults are not run. */
  public enter(request: CallRequest, callerGone: AbortSignal): Outcome<answerBuffer.AnswerBuffer> {
    const callKey = serviceRuns.callKeyOf(request);
    const requestDigest = digests.digestRequest(request);
    const same = callKey === undefined ? undefined : this.keyed.get(callKey);
    if (same !== undefined) {
      if (same.requestDigest === requestDigest) return trueMyth.Result.ok(same.buffer);
      return trueMyth.Result.err(errors.createFault('idempotency-key-reused'));
    }
    const { running, clock, shardOf } = this.options;
    const started = running.start({
      request,
      shard: callKey === undefined ? runningCalls.NO_SHARD : shardOf(callKey),
      program: undefined,
      turn: 0,
      deadline: clock.now() + request.remainingMs,
    });
    if (started.isErr) return trueMyth.Result.err(started.error);
    const { call, controller } = started.value;
    const buffer = new answerBuffer.AnswerBuffer();
    // A keyed call goes on without its caller, who may come back for the outcome.
    if (callKey === undefined) abortWhenGone(controller, callerGone);
    else this.keyed.set(callKey, { requestDigest, buffer });
    this.run(call, buffer)
      .catch(() => buffer.end(faults.faultItem(errors.createFault('internal'))))
      .finally(() => {
        running.finish(controller);
        if (callKey !== undefined) this.keyed.delete(callKey);
      });
    return trueMyth.Result.ok(buffer);
  }

  private async run(call: RunningCall, buffer: answerBuffer.AnswerBuffer): Promise<void> {
    const fault =
      call.request.call.kind === configuration.CALL_KINDS.MODEL
        ? await this.runModel(call, buffer)
        : await this.runService(call, buffer);
    if (fault !== undefined) {
      buffer.end(faults.faultItem(fault));
      return;
    }
    const durability = journal.DURABILITIES.JOURNALED;
    buffer.end({ kind: messages.ITEM_KINDS.FINISHED, turn: 0, durability });
  }

  private async runModel(
    call: RunningCall,
    buffer: answerBuffer.AnswerBuffer,
  ): Promise<errors.Fault | undefined> {
    const model = call.request.call;
    if (model.kind !== configuration.CALL_KINDS.MODEL) return undefined;
    const maximumTokens = model.maximumTokens ?? call.route.defaultMaximumTokens;
    const ending = await this.options.models.run({
      call,
      model,
      messages: model.messages,
      maximumTokens,
      allowAfter: () => Promise.resolve(trueMyth.Result.ok(maximumTokens)),
      fingerprint: digests.fingerprintRequest(call.request),
      attainedSeconds: 0,
      buffer,
      confirmAuthority: () => this.options.authority.confirmRepeatable(call.shard),
    });
    if (ending.result.isErr) return ending.result.error;
    const { serviceSeconds } = ending.result.value;
    this.options.scheduler.recordService(call.request.workspace ?? '', serviceSeconds);
    return undefined;
  }

  private async runService(
    call: RunningCall,
    buffer: answerBuffer.AnswerBuffer,
  ): Promise<errors.Fault | undefined> {
    const service = call.request.call;
    if (service.kind !== configuration.CALL_KINDS.SERVICE) return undefined;
    const result = await this.options.services.run(call, service, 0);
    if (result.isErr) return result.error;
    answers.itemsOfAnswer(result.value).forEach((item) => buffer.add(item));
    return undefined;
  }
}

function abortWhenGone(controller: AbortController, callerGone: AbortSignal): void {
  const abort = (): void => controller.abort(faults.ABORT_REASONS.CALLER_GONE);
  if (callerGone.aborted) abort();
  else callerGone.addEventListener('abort', abort, { once: true });
}
