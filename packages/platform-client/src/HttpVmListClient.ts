import * as zod from 'zod';

import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';

import * as interpretation from './interpretOutcome.js';
import * as jsonExchange from './JsonExchange.js';
import type { HttpClientOptions, ListedVm, PlatformResult, VmListClient } from './Types.js';

const LIST_RESPONSE = zod.object({
  vms: zod.array(
    zod.object({
      name: zod.string().min(1),
      address: zod.string().min(1),
      failureDomain: zod.string().min(1),
      leaving: zod.boolean(),
    }),
  ),
});

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** A client of the platform's VM list over HTTP. Dispose of it to close its connections. */
export class HttpVmListClient implements VmListClient, lifetime.Disposable {
  private readonly exchange: jsonExchange.JsonExchange;

  public constructor(
    time: clock.Clock,
    private readonly options: HttpClientOptions,
  ) {
    const connectTimeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    this.exchange = new jsonExchange.JsonExchange(time, options.baseUrl, connectTimeoutMs);
  }

  /** @inheritdoc */
  public async list(): Promise<PlatformResult<readonly ListedVm[]>> {
    const outcome = await this.exchange.send({
      method: 'GET',
      path: '/vms',
      timeoutMs: this.options.requestTimeoutMs,
    });
    return interpretation.interpretOutcome(outcome, LIST_RESPONSE).map((response) => response.vms);
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.exchange.dispose();
  }
}
