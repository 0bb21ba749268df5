import type * as clockTypes from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import type * as limits from '@limpettack/limits';
import type * as metrics from '@limpettack/metrics';
import * as trueMyth from 'true-myth';
import * as keyCheck from './carriesKey.js';
import type { CallerExchange, Outcome } from './Types.js';

/** Time for the limits to answer, in milliseconds. */
const ADMISSION_TIMEOUT_MS = 5_000;

/** What the gate needs. */
export interface CallGateOptions {
  readonly configuration: configuration.ConfigurationView;
  readonly admission: limits.Admission;
  readonly metrics: metrics.Metrics;
  readonly clock: clockTypes.Clock;
}

/** Lets a call through when its route is open to the caller and its workspace is within its rate. */
export class CallGate {
  public constructor(private readonly options: CallGateOptions) {}

  /** The route of an admitted call. All faults are not run. */
  public async pass(
    exchange: CallerExchange,
    routeName: string,
    kind: configuration.Route['kind'],
    body: Buffer,
  ): Promise<Outcome<configuration.Route>> {
    const route = this.options.configuration.routeFor(exchange.caller, routeName);
    if (route.isErr) return route;
    if (route.value.kind !== kind) {
      return trueMyth.Result.err(errors.createFault('route-unknown'));
    }
    const { key, request } = exchange;
    if (key !== undefined && keyCheck.carriesKey(request, body, key)) {
      return trueMyth.Result.err(keyLeaks());
    }
    const admitted = await this.admit(exchange);
    if (admitted !== undefined) return trueMyth.Result.err(admitted);
    return route;
  }

  /** Counts a request against its workspace's rate; callers without a key have none. */
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

function keyLeaks(): errors.Fault {
  return errors.createFault(
    'bad-request',
    'The key stands outside the Authorization field, so the request would pass it on.',
  );
}
