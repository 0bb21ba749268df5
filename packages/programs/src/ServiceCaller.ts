import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as scheduling from '@limpettack/scheduling';
import * as targets from '@limpettack/targets';
import * as trueMyth from 'true-myth';
import * as backOff from './backOff.js';
import * as faults from './faults.js';
import type { CallRequest, DispatchDependencies, FaultResult, RunningCall } from './Types.js';

type ServiceRequest = Extract<CallRequest['call'], { kind: 'service' }>;

/** Maximum number of targets that a repeatable call is sent to. */
const MAXIMUM_ATTEMPTS = 4;

const { TARGET_FAILURES } = targets;

/** A service call that is ready to be sent. */
export interface PreparedServiceCall {
  readonly call: RunningCall;
  readonly service: ServiceRequest;
  readonly fingerprint: string;
  readonly attainedSeconds: number;
  /** Confirms before each dispatch that this process is still allowed to dispatch. */
  readonly confirmAuthority: () => Promise<FaultResult<targets.FencingNumber>>;
}

/** A slot on a target for one dispatch. Dispose of it when the dispatch has ended. */
export interface ServiceSlot {
  readonly target: string;
  dispose(): void;
}

/** Sends service calls to targets. */
export class ServiceCaller {
  public constructor(private readonly options: DispatchDependencies) {}

  /** Runs a repeatable call, on other targets if the first fails. */
  public async runRepeatable(
    prepared: PreparedServiceCall,
  ): Promise<FaultResult<targets.ServiceResponse>> {
    const excluded = new Set<string>();
    let wasSent = false;
    this.options.retries.noteCall();
    for (let count = 0; count < MAXIMUM_ATTEMPTS; count += 1) {
      const slot = await this.acquire(prepared, excluded);
      if (slot.isErr) return trueMyth.Result.err(faults.withRunState(slot.error, wasSent));
      const sent = await this.dispatch(prepared, slot.value);
      slot.value.dispose();
      if (sent.isErr) return trueMyth.Result.err(faults.withRunState(sent.error, wasSent));
      const response = sent.value;
      if (response.isOk) return trueMyth.Result.ok(response.value);
      wasSent = wasSent || response.error.kind !== TARGET_FAILURES.NOT_SENT;
      if (prepared.call.signal.aborted) {
        return trueMyth.Result.err(faults.faultOfAbort(prepared.call.signal, wasSent));
      }
      excluded.add(slot.value.target);
      if (!this.options.retries.tryRetry()) break;
      await backOff.backOff(count + 1, this.options, prepared.call.signal);
    }
    return trueMyth.Result.err(faults.withRunState(errors.createFault('target-failed'), wasSent));
  }

  /** Waits for a slot on a target. All faults mean that the call was not run. */
  public async acquire(
    prepared: PreparedServiceCall,
    excluded: ReadonlySet<string>,
  ): Promise<FaultResult<ServiceSlot>> {
    if (this.options.crashes.isQuarantined(prepared.fingerprint)) {
      return trueMyth.Result.err(errors.createFault('request-quarantined'));
    }
    const description = describe(prepared, excluded);
    const acquired = await this.options.scheduler.acquire(description, prepared.call.signal);
    if (acquired.isErr) return trueMyth.Result.err(acquired.error);
    const slot = acquired.value;
    const activeCall = this.options.directory.begin(description, slot.target);
    return trueMyth.Result.ok({
      target: slot.target,
      dispose: () => {
        activeCall.dispose();
        slot.dispose();
      },
    });
  }

  /**
   * Sends the call once to the target of the slot. A fault means that nothing was sent. The kind of
   * a target failure shows whether anything was sent.
   */
  public async dispatch(
    prepared: PreparedServiceCall,
    slot: ServiceSlot,
  ): Promise<FaultResult<targets.TargetResult<targets.ServiceResponse>>> {
    const authority = await prepared.confirmAuthority();
    if (authority.isErr) return trueMyth.Result.err(authority.error);
    const { signal } = prepared.call;
    if (signal.aborted) return trueMyth.Result.err(faults.faultOfAbort(signal, false));
    const startedAt = this.options.clock.now();
    const response = await this.options.client.callService(
      createServiceCall(prepared, slot.target, authority.value),
      signal,
    );
    this.report(prepared, slot.target, response, startedAt);
    return trueMyth.Result.ok(response);
  }

  private report(
    prepared: PreparedServiceCall,
    target: string,
    response: targets.TargetResult<targets.ServiceResponse>,
    startedAt: clockTypes.Milliseconds,
  ): void {
    const totalMs = this.options.clock.now() - startedAt;
    if (response.isOk) {
      this.options.crashes.noteCompleted(prepared.fingerprint);
      this.options.directory.report({ target, totalMs });
      return;
    }
    const { kind } = response.error;
    if (kind !== TARGET_FAILURES.CANCELLED) {
      const { status } = response.error;
      const extra = status === undefined ? {} : { status };
      this.options.directory.report({ target, totalMs, failure: kind, ...extra });
    }
    if (kind === TARGET_FAILURES.DIED) {
      this.options.crashes.noteCrash(prepared.fingerprint, target, startedAt);
    }
  }
}

function createServiceCall(
  prepared: PreparedServiceCall,
  target: string,
  fencing: targets.FencingNumber,
): targets.ServiceCall {
  const { call, service } = prepared;
  const { idempotencyKey } = service;
  return {
    callId: call.callId,
    pool: call.pool.name,
    target,
    method: service.method,
    path: service.path,
    headers: service.headers,
    body: service.body,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    fencing,
  };
}

function describe(
  prepared: PreparedServiceCall,
  excluded: ReadonlySet<string>,
): scheduling.CallDescription {
  const { call } = prepared;
  return {
    callId: call.callId,
    pool: call.pool.name,
    workspace: call.request.workspace ?? '',
    program: call.request.program ?? call.callId,
    promptTokens: 0,
    expectedTokens: 0,
    attainedSeconds: prepared.attainedSeconds,
    deadline: call.deadline,
    excluded,
  };
}
