import type * as clockTypes from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as journal from '@limpettack/journal';
import type * as scheduling from '@limpettack/scheduling';
import * as trueMyth from 'true-myth';
import * as responseBuffer from './ResponseBuffer.js';
import * as responses from './responses.js';
import type * as authorities from './ShardAuthority.js';
import * as digests from './digests.js';
import * as faults from './faults.js';
import * as messages from './messages.js';
import type * as modelCaller from './ModelCaller.js';
import * as runningCalls from './RunningCalls.js';
import * as serviceCallRunner from './ServiceCallRunner.js';
import type { CallRequest, FaultResult, RunningCall } from './Types.js';

/** Dependencies of `SingleCalls`. */
export interface SingleCallsOptions {
  readonly running: runningCalls.RunningCalls;
  readonly shardOf: (callKey: string) => number;
  readonly models: modelCaller.ModelCaller;
  readonly services: serviceCallRunner.ServiceCallRunner;
  readonly authority: authorities.ShardAuthority;
  readonly scheduler: scheduling.Scheduler;
  readonly clock: clockTypes.Clock;
}

/** A keyed call in progress. */
interface RunningKeyedCall {
  readonly requestDigest: string;
  readonly buffer: responseBuffer.ResponseBuffer;
}

/** Runs calls outside programs. Only the outcomes of keyed calls are stored. */
export class SingleCalls {
  /** Keyed calls in progress, by call key. */
  private readonly keyed = new Map<string, RunningKeyedCall>();

  public constructor(private readonly options: SingleCallsOptions) {}

  /**
   * Returns the response of a keyed call in progress, otherwise starts the call. All faults mean
   * that the call was not run.
   */
  public findOrStart(
    request: CallRequest,
    callerGone: AbortSignal,
  ): FaultResult<responseBuffer.ResponseBuffer> {
    const callKey = serviceCallRunner.callKeyOf(request);
    const requestDigest = digests.digestRequest(request);
    const existing = callKey === undefined ? undefined : this.keyed.get(callKey);
    if (existing !== undefined) {
      if (existing.requestDigest === requestDigest) return trueMyth.Result.ok(existing.buffer);
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
    const buffer = new responseBuffer.ResponseBuffer();
    // A keyed call continues without its caller, who may request the outcome later.
    if (callKey === undefined) abortWhenCallerGone(controller, callerGone);
    else this.keyed.set(callKey, { requestDigest, buffer });
    this.run(call, buffer)
      .catch(() => buffer.end(faults.faultItem(errors.createFault('internal'))))
      .finally(() => {
        running.finish(controller);
        if (callKey !== undefined) this.keyed.delete(callKey);
      });
    return trueMyth.Result.ok(buffer);
  }

  private async run(call: RunningCall, buffer: responseBuffer.ResponseBuffer): Promise<void> {
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
    buffer: responseBuffer.ResponseBuffer,
  ): Promise<errors.Fault | undefined> {
    const model = call.request.call;
    if (model.kind !== configuration.CALL_KINDS.MODEL) return undefined;
    const maximumTokens = model.maximumTokens ?? call.route.defaultMaximumTokens;
    const run = await this.options.models.run({
      call,
      model,
      messages: model.messages,
      maximumTokens,
      reserveRetry: () => Promise.resolve(trueMyth.Result.ok(maximumTokens)),
      fingerprint: digests.fingerprintRequest(call.request),
      attainedSeconds: 0,
      buffer,
      confirmAuthority: () => this.options.authority.confirmRepeatable(call.shard),
    });
    if (run.result.isErr) return run.result.error;
    const { serviceSeconds } = run.result.value;
    this.options.scheduler.recordService(call.request.workspace ?? '', serviceSeconds);
    return undefined;
  }

  private async runService(
    call: RunningCall,
    buffer: responseBuffer.ResponseBuffer,
  ): Promise<errors.Fault | undefined> {
    const service = call.request.call;
    if (service.kind !== configuration.CALL_KINDS.SERVICE) return undefined;
    const result = await this.options.services.run(call, service, 0);
    if (result.isErr) return result.error;
    responses.itemsOfResponse(result.value).forEach((item) => buffer.add(item));
    return undefined;
  }
}

function abortWhenCallerGone(controller: AbortController, callerGone: AbortSignal): void {
  const abort = (): void => controller.abort(faults.ABORT_REASONS.CALLER_GONE);
  if (callerGone.aborted) abort();
  else callerGone.addEventListener('abort', abort, { once: true });
}
