import type * as clockTypes from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import type * as limits from '@limpettack/limits';
import type * as metrics from '@limpettack/metrics';
import * as trueMyth from 'true-myth';
import * as keyCheck from './carriesKey.js';
import type { CallerExchange, FaultResult } from './Types.js';

/** Timeout of a rate limit check, in milliseconds. */
const ADMISSION_TIMEOUT_MS = 5_000;

/** Dependencies of the call gate. */
export interface CallGateOptions {
  readonly configuration: configuration.ConfigurationView;
  readonly admission: limits.AdmissionControl;
  readonly metrics: metrics.Metrics;
  readonly clock: clockTypes.Clock;
}

/** Admits calls whose route the caller may use and whose workspace is within its rate limit. */
export class CallGate {
  public constructor(private readonly options: CallGateOptions) {}

  /** Checks a call and returns its route. A fault always means that the call did not run. */
  public async admitCall(
    exchange: CallerExchange,
    routeName: string,
    kind: configuration.Route['kind'],
    body: Buffer,
  ): Promise<FaultResult<configuration.Route>> {
    const route = this.options.configuration.routeFor(exchange.caller, routeName);
    if (route.isErr) return route;
    if (route.value.kind !== kind) {
      return trueMyth.Result.err(errors.createFault('route-unknown'));
    }
    const { key, request } = exchange;
    if (key !== undefined && keyCheck.carriesKey(request, body, key)) {
      return trueMyth.Result.err(createKeyExposedFault());
    }
    const refusal = await this.admit(exchange);
    if (refusal !== undefined) return trueMyth.Result.err(refusal);
    return route;
  }

  /** Charges a request to its workspace's rate limit. Callers without a workspace have no limit. */
  public async admit(exchange: CallerExchange): Promise<errors.Fault | undefined> {
    const { workspace } = exchange.caller;
    if (workspace === undefined) return undefined;
    const result = await this.options.admission.admit({
      requestId: exchange.requestId,
      workspace,
      timeoutMs: ADMISSION_TIMEOUT_MS,
    });
    this.options.metrics.countAdmission(workspace, result.isOk ? 'admitted' : 'refused');
    return result.isErr ? result.error : undefined;
  }
}

function createKeyExposedFault(): errors.Fault {
  return errors.createFault(
    'bad-request',
    'The key stands outside the Authorization field, so the request would pass it on.',
  );
}
