import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';

import * as engineOrders from './EngineOrders.js';
import * as fencing from './fencingOf.js';
import * as fencingGuard from './FencingGuard.js';
import * as messages from './httpMessages.js';
import * as outcomes from './Outcomes.js';
import * as replies from './reply.js';
import * as resetSocket from './resetSocket.js';
import * as schemas from './schemas.js';
import * as targetHost from './TargetHost.js';
import type { Outcome, ServiceSettings } from './Types.js';

const { OUTCOMES } = outcomes;

const OUTCOME_PATH = /^\/outcomes\/([^/]+)$/;
const STATUS_PATH = '/limpettack/status';

/** Response body of an execution. */
export interface ExecutionResult {
  /** Sequence number of the execution, from 1. */
  readonly executionNumber: number;
  readonly method: string;
  readonly path: string;
  /** Body of the request, unchanged. */
  readonly body: string;
}

/** Simulates a plain service. Every call is executed, including retries with the same key. */
export class ServiceServer implements targetHost.TargetBehaviour, lifetime.Disposable {
  /** Listeners, request journal and injected faults of the service. */
  public readonly host: targetHost.TargetHost;

  private readonly settings: ServiceSettings;

  private readonly fencing: fencingGuard.FencingGuard;

  private readonly executionsByKey = new Map<string, number>();

  private readonly resultsByKey = new Map<string, ExecutionResult>();

  private executionCount = 0;

  public constructor(
    private readonly time: clock.Clock,
    options: Partial<ServiceSettings> = {},
    onCrash?: () => void,
  ) {
    this.settings = schemas.SERVICE_SETTINGS.parse(options);
    this.host = new targetHost.TargetHost(time, this.settings, this, onCrash);
    this.fencing = new fencingGuard.FencingGuard(this.settings.checksFencing);
  }

  /** Address on which the service listens, as `host:port`. */
  public get address(): string {
    return this.host.address;
  }

  /** The service's URL. */
  public get url(): string {
    return `http://${this.address}`;
  }

  /** Number of executions by idempotency key. */
  public get executions(): ReadonlyMap<string, number> {
    return this.executionsByKey;
  }

  /** Starts listening. */
  public start(): Promise<void> {
    return this.host.start();
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.host.dispose();
  }

  /** @inheritdoc */
  public isCall(exchange: targetHost.TargetExchange): boolean {
    const path = exchange.url.pathname;
    return path !== STATUS_PATH && !OUTCOME_PATH.test(path);
  }

  /** Keeps the executions, since a real service stores them outside of its process. */
  public reset(): void {
    // A crash loses no state of a plain service.
  }

  /** @inheritdoc */
  public describeState(path: string): unknown {
    if (path !== '/admin/executions') return undefined;
    return { total: this.executionCount, byKey: Object.fromEntries(this.executionsByKey) };
  }

  /** @inheritdoc */
  public async handle(exchange: targetHost.TargetExchange): Promise<Outcome> {
    const path = exchange.url.pathname;
    if (path === STATUS_PATH) return replies.reply(exchange, 200, { status: this.status() });
    const key = OUTCOME_PATH.exec(path)?.[1];
    if (key !== undefined) return this.handleOutcome(exchange, decodeURIComponent(key));
    return this.handleExecution(exchange);
  }

  private status(): string {
    const { LEAVING, READY } = engineOrders.STATUSES;
    return this.host.faults.leaving ? LEAVING : READY;
  }

  private handleOutcome(exchange: targetHost.TargetExchange, key: string): Outcome {
    const result = this.resultsByKey.get(key);
    return result === undefined
      ? replies.reply(exchange, 404, replies.REFUSALS.NOT_FOUND)
      : replies.reply(exchange, 200, result);
  }

  private async handleExecution(exchange: targetHost.TargetExchange): Promise<Outcome> {
    const { request, response, body } = exchange;
    const { scope, fencingNumber } = fencing.fencingOf(request);
    if (!this.fencing.admit(scope, fencingNumber)) {
      return replies.reply(exchange, 409, replies.REFUSALS.FENCED);
    }
    const key = messages.headerOf(request, 'idempotency-key');
    this.countExecution(key);
    const result = {
      executionNumber: this.executionCount,
      method: request.method ?? '',
      path: request.url ?? '',
      body,
    };
    await this.time.sleep(this.settings.serviceTimeMs);
    if (key !== undefined) this.resultsByKey.set(key, result);
    if (await this.shouldDropResponse()) {
      resetSocket.resetResponse(response);
      return OUTCOMES.DROPPED;
    }
    return replies.reply(exchange, 200, result);
  }

  private countExecution(key: string | undefined): void {
    this.executionCount += 1;
    if (key === undefined) return;
    this.executionsByKey.set(key, (this.executionsByKey.get(key) ?? 0) + 1);
  }

  /** Whether the fault `loseAnswers` applies to this response; each use decrements the fault. */
  private async shouldDropResponse(): Promise<boolean> {
    const { loseAnswers } = this.host.faults;
    if (loseAnswers === 0) return false;
    await this.host.setFaults({ loseAnswers: loseAnswers - 1 });
    return true;
  }
}
