import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import * as responses from './responses.js';
import type * as authorities from './ShardAuthority.js';
import * as digests from './digests.js';
import type * as keyedCaller from './KeyedCaller.js';
import * as programIds from './programIds.js';
import type * as serviceCaller from './ServiceCaller.js';
import type { CallRequest, FaultResult, RecordedResponse, RunningCall } from './Types.js';

type ServiceRequest = Extract<CallRequest['call'], { kind: 'service' }>;

/** Runs a service call as its route requires: with retries, or at most once by idempotency key. */
export class ServiceCallRunner {
  public constructor(
    private readonly services: serviceCaller.ServiceCaller,
    private readonly keyed: keyedCaller.KeyedCaller,
    private readonly authority: authorities.ShardAuthority,
  ) {}

  /** Runs the call. `attainedSeconds` is the service time that its program has received so far. */
  public async run(
    call: RunningCall,
    service: ServiceRequest,
    attainedSeconds: number,
  ): Promise<FaultResult<RecordedResponse>> {
    const { shard, route, request } = call;
    const fingerprint = digests.fingerprintRequest(request);
    const common = { call, service, fingerprint, attainedSeconds };
    if (route.repeatable) {
      const confirmAuthority = () => this.authority.confirmRepeatable(shard);
      const response = await this.services.runRepeatable({ ...common, confirmAuthority });
      return response.map(responses.recordServiceResponse);
    }
    const callKey = callKeyOf(request);
    const { idempotencyKey } = service;
    if (callKey === undefined || idempotencyKey === undefined) {
      return trueMyth.Result.err(errors.createFault('idempotency-key-required'));
    }
    const confirmAuthority = () => this.authority.confirmOnce(shard);
    const prepared = { ...common, confirmAuthority };
    const requestDigest = digests.digestRequest(request);
    return this.keyed.run({ prepared, callKey, requestDigest, idempotencyKey });
  }
}

/** The call key of a service call with an idempotency key; undefined for any other call. */
export function callKeyOf(request: CallRequest): string | undefined {
  const { call, workspace, route, program } = request;
  if (call.kind !== configuration.CALL_KINDS.SERVICE) return undefined;
  if (call.idempotencyKey === undefined) return undefined;
  return programIds.createCallKey(workspace, route, program, call.idempotencyKey);
}
