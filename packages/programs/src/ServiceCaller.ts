import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as scheduling from '@limpettack/scheduling';
import * as targets from '@limpettack/targets';
import * as trueMyth from 'true-myth';
import * as backOff from './backOff.js';
import * as faults from './faults.js';
import type { CallRequest, DispatchCollaborators, Outcome, RunningCall } from './Types.js';

type ServiceRequest = Extract<CallRequest['call'], { kind: 'service' }>;

/** A repeatable call goes to so many targets at most. */
const MAXIMUM_ATTEMPTS = 4;

const { TARGET_FAILURES } = targets;

/** A service call that is ready to be sent. */
export interface PreparedServiceCall {
  readonly call: RunningCall;
  readonly service: ServiceRequest;
  readonly fingerprint: string;
  readonly attainedSeconds: number;
  /** Makes sure, before each dispatch, that this process may still dispatch. */
  readonly confirmAuthority: () => Promise<Outcome<targets.FencingNumber>>;
}

/** A place on a target for one dispatch. Dispose of it when the dispatch has ended. */
export interface ServicePlace {
  readonly target: string;
  dispose(): void;
}

/** Sends service calls to targets. */
export class ServiceCaller {
  public constructor(private readonly options: DispatchCollaborators) {}

  /** Runs a call that may be repeated, on other targets when the first fails. */
  public async runRepeatable(
    prepared: PreparedServiceCall,
  ): Promise<Outcome<targets.ServiceAnswer>> {
    const excluded = new Set<string>();
    let wasSent = false;
    this.options.retries.noteCall();
    for (let count = 0; count < MAXIMUM_ATTEMPTS; count += 1) {
      const place = await this.acquire(prepared, excluded);
      if (place.isErr) return trueMyth.Result.err(faults.withSent(place.error, wasSent));
      const sent = await this.dispatch(prepared, place.value);
      place.value.dispose();
      if (sent.isErr) return trueMyth.Result.err(faults.withSent(sent.error, wasSent));
      const answer = sent.value;
      if (answer.isOk) return trueMyth.Result.ok(answer.value);
      wasSent = wasSent || answer.error.kind !== TARGET_FAILURES.NOT_SENT;
      if (prepared.call.signal.aborted) {
        return trueMyth.Result.err(faults.faultOfAbort(prepared.call.signal, wasSent));
      }
      excluded.add(place.value.target);
      if (!this.options.retries.tryRetry()) break;
      await backOff.backOff(count + 1, this.options, prepared.call.signal);
    }
    return trueMyth.Result.err(faults.withSent(errors.createFault('target-failed'), wasSent));
  }

  /** Waits for a place on a target. Faults are all not run. */
  public async acquire(
    prepared: PreparedServiceCall,
    excluded: ReadonlySet<string>,
  ): Promise<Outcome<ServicePlace>> {
    if (this.options.crashes.isQuarantined(prepared.fingerprint)) {
      return trueMyth.Result.err(errors.createFault('request-quarantined'));
    }
    const description = describe(prepared, excluded);
    const acquired = await this.options.scheduler.acquire(description, prepared.call.signal);
    if (acquired.isErr) return trueMyth.Result.err(acquired.error);
    const slot = acquired.value;
    const begun = this.options.directory.begin(description, slot.target);
    return trueMyth.Result.ok({
      target: slot.target,
      dispose: () => {
        begun.dispose();
        slot.dispose();
      },
    });
  }

  /**
   * Sends the call once to the target of the place. A fault says that nothing was sent; a target
   * failure tells itself whether anything was.
   */
  public async dispatch(
    prepared: PreparedServiceCall,
    place: ServicePlace,
  ): Promise<Outcome<targets.TargetResult<targets.ServiceAnswer>>> {
    const authority = await prepared.confirmAuthority();
    if (authority.isErr) return trueMyth.Result.err(authority.error);
    const { signal } = prepared.call;
    if (signal.aborted) return trueMyth.Result.err(faults.faultOfAbort(signal, false));
    const startedAt = this.options.clock.now();
    const answer = await this.options.client.callService(
      createServiceCall(prepared, place.target, authority.value),
      signal,
    );
    this.report(prepared, place.target, answer, startedAt);
    return trueMyth.Result.ok(answer);
  }

  private report(
    prepared: PreparedServiceCall,
    target: string,
    answer: targets.TargetResult<targets.ServiceAnswer>,
    startedAt: clockTypes.Milliseconds,
  ): void {
    const totalMs = this.options.clock.now() - startedAt;
    if (answer.isOk) {
      this.options.crashes.noteCompleted(prepared.fingerprint);
      this.options.directory.report({ target, totalMs });
      return;
    }
    const { kind } = answer.error;
    if (kind !== TARGET_FAILURES.CANCELLED) {
      const { status } = answer.error;
      const extra = status === undefined ? {} : { status };
      this.options.directory.report({ target, totalMs, failure: kind, ...extra });
    }
    if (kind === TARGET_FAILURES.DIED) {
      this.options.crashes.noteDeath(prepared.fingerprint, target, startedAt);
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
