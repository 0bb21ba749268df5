import * as crypto from 'node:crypto';

import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';

import * as cacheEventFeed from './CacheEventFeed.js';
import * as seededRandom from './createSeededRandom.js';
import * as engineBatch from './EngineBatch.js';
import * as engineCall from './EngineCall.js';
import * as engineOrders from './EngineOrders.js';
import * as fencing from './fencingOf.js';
import * as fencingGuard from './FencingGuard.js';
import * as messages from './httpMessages.js';
import * as loadHistory from './LoadHistory.js';
import * as outcomes from './Outcomes.js';
import * as prefixCache from './PrefixCache.js';
import * as replies from './reply.js';
import * as schemas from './schemas.js';
import * as targetHost from './TargetHost.js';
import type { EngineSettings, Outcome } from './Types.js';
import * as untilAborted from './untilAborted.js';
import * as streams from './writeStream.js';

const { OUTCOMES } = outcomes;

const CHAT_PATH = '/v1/chat/completions';
const CALL_PATH = /^\/v1\/calls\/([^/]+)$/;
const STREAM_PATH = /^\/v1\/calls\/([^/]+)\/stream$/;
const SESSION_PATH = /^\/v1\/sessions\/([^/]+)$/;

/** Settings of an engine; each one that is omitted takes its default. */
export type EngineOptions = Partial<EngineSettings>;

/** Simulates a model engine with continuous batching, a prefix cache and resumable streams. */
export class EngineServer implements targetHost.TargetBehaviour, lifetime.Disposable {
  /** Listeners, request journal and injected faults of the engine. */
  public readonly host: targetHost.TargetHost;

  private readonly settings: EngineSettings;

  private readonly cache: prefixCache.PrefixCache;

  private readonly cacheEvents: cacheEventFeed.CacheEventFeed;

  private readonly load: loadHistory.LoadHistory;

  private readonly batch: engineBatch.EngineBatch;

  private readonly orders: engineOrders.EngineOrders;

  private readonly calls = new Map<string, engineCall.EngineCall>();

  private readonly fencing: fencingGuard.FencingGuard;

  private readonly disposal = new AbortController();

  /** Tokens generated for each program, counted when a call ends. */
  private readonly generated = new Map<string, number>();

  public constructor(
    private readonly time: clock.Clock,
    options: EngineOptions = {},
    onCrash?: () => void,
  ) {
    const settings = schemas.ENGINE_SETTINGS.parse(options);
    this.settings = settings;
    this.host = new targetHost.TargetHost(time, settings, this, onCrash);
    this.cacheEvents = new cacheEventFeed.CacheEventFeed(
      time,
      seededRandom.createSeededRandom(settings.seed),
      settings.cacheEventDelayMs,
      settings.cacheEventLoss,
    );
    this.cache = new prefixCache.PrefixCache(settings.cacheTokens, this.cacheEvents);
    this.load = new loadHistory.LoadHistory(time, settings.loadLagMs);
    this.batch = new engineBatch.EngineBatch(time, settings, this.cache, this.load);
    this.orders = new engineOrders.EngineOrders(time, settings.model, settings.loadingMs);
    this.fencing = new fencingGuard.FencingGuard(settings.checksFencing);
  }

  /** Address on which the engine listens, as `host:port`. */
  public get address(): string {
    return this.host.address;
  }

  /** The engine's URL. */
  public get url(): string {
    return `http://${this.address}`;
  }

  /** Starts listening. */
  public start(): Promise<void> {
    return this.host.start();
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.disposal.abort();
    this.calls.forEach((call) => call.cancel());
    await this.host.dispose();
  }

  /** @inheritdoc */
  public isCall(exchange: targetHost.TargetExchange): boolean {
    return exchange.url.pathname === CHAT_PATH;
  }

  /** @inheritdoc */
  public reset(): void {
    this.calls.forEach((call) => call.cancel(OUTCOMES.CRASHED));
    this.calls.clear();
    this.cache.clear();
  }

  /** @inheritdoc */
  public describeState(path: string): unknown {
    if (path === '/admin/generated') return { byProgram: Object.fromEntries(this.generated) };
    return path === '/admin/state' ? this.orders.state : undefined;
  }

  /** @inheritdoc */
  public async handle(exchange: targetHost.TargetExchange): Promise<Outcome> {
    const { url, request } = exchange;
    const path = url.pathname;
    if (path === CHAT_PATH) return this.handleChat(exchange);
    const streamCallId = STREAM_PATH.exec(path)?.[1];
    if (streamCallId !== undefined)
      return this.handleResume(exchange, decodeURIComponent(streamCallId));
    if (path === '/v1/calls')
      return replies.reply(exchange, 200, { calls: this.listCalls(exchange) });
    if (path === '/v1/load') return replies.reply(exchange, 200, this.describeLoad());
    if (path === '/v1/cache/events') {
      const after = Number(url.searchParams.get('after') ?? 0);
      return replies.reply(exchange, 200, this.cacheEvents.read(after));
    }
    if (path === '/v1/sessions')
      return replies.reply(exchange, 200, { sessions: this.cache.list() });
    if (path === '/v1/orders') return this.handleOrder(exchange);
    if (path.startsWith('/v1/kv/')) return this.handleTransfer(exchange);
    if (request.method === 'DELETE') return this.handleDelete(exchange);
    return replies.reply(exchange, 404, replies.REFUSALS.NOT_FOUND);
  }

  private async handleChat(exchange: targetHost.TargetExchange): Promise<Outcome> {
    const body = messages.parseJson(schemas.CHAT_BODY, exchange.body);
    if (body === undefined) return replies.reply(exchange, 400, replies.REFUSALS.INVALID);
    const { request } = exchange;
    const { scope, fencingNumber } = fencing.fencingOf(request);
    if (!this.fencing.admit(scope, fencingNumber))
      return replies.reply(exchange, 409, replies.REFUSALS.FENCED);
    const call = new engineCall.EngineCall(this.time, {
      callId: messages.headerOf(request, 'limpettack-call') ?? crypto.randomUUID(),
      program: messages.headerOf(request, 'limpettack-program'),
      scope,
      fencingNumber,
      priority: messages.numberOf(messages.headerOf(request, 'limpettack-priority')) ?? 0,
      model: this.orders.state.model,
      messages: body.messages,
      maximumTokens: body.max_completion_tokens ?? body.max_tokens,
      defaultTokens: this.settings.defaultTokens,
      includesUsage: body.stream_options?.include_usage ?? false,
    });
    this.registerCall(call);
    const run = this.batch.run(call);
    if (body.stream) await this.stream(call, 0, exchange);
    else await this.sendCompletion(call, exchange);
    await run;
    this.countGenerated(call);
    this.scheduleRemoval(call);
    return call.outcome ?? OUTCOMES.CANCELLED;
  }

  private countGenerated(call: engineCall.EngineCall): void {
    const { program } = call.request;
    if (program === undefined) return;
    const count = this.generated.get(program) ?? 0;
    this.generated.set(program, count + call.generatedTokens);
  }

  /** Registers a call; an earlier call with the same id is cancelled and replaced. */
  private registerCall(call: engineCall.EngineCall): void {
    const { callId } = call.request;
    this.calls.get(callId)?.cancel();
    this.calls.set(callId, call);
  }

  /** Removes the ended call after the resume window, unless a newer call has replaced it. */
  private scheduleRemoval(call: engineCall.EngineCall): void {
    const { callId } = call.request;
    this.time
      .sleep(this.settings.resumeWindowMs, this.disposal.signal)
      .then(() => {
        if (this.calls.get(callId) === call) this.calls.delete(callId);
      })
      .catch(() => undefined);
  }

  private async stream(
    call: engineCall.EngineCall,
    after: number,
    exchange: targetHost.TargetExchange,
  ): Promise<void> {
    call.attach();
    await streams.writeStream(call, after, exchange, {
      dropAfterChunks: () => this.host.faults.dropAfterChunks,
      waitWhileStalled: (signal) => this.waitWhileStalled(signal),
    });
    call.detach(this.settings.resumeWindowMs);
  }

  private async waitWhileStalled(signal: AbortSignal): Promise<void> {
    while (this.host.faults.stallStreams && !signal.aborted) {
      const changed = new AbortController();
      const subscription = this.host.onFaultsChange(() => changed.abort());
      await untilAborted.untilAborted(AbortSignal.any([changed.signal, signal]));
      await subscription.dispose();
    }
  }

  private async sendCompletion(
    call: engineCall.EngineCall,
    exchange: targetHost.TargetExchange,
  ): Promise<void> {
    while (call.outcome === undefined) {
      await call.waitForProgress(exchange.closed);
      // Only streams can be resumed, so a unary call without a connection is cancelled.
      if (exchange.closed.aborted) call.cancel();
    }
    if (call.outcome === OUTCOMES.FINISHED) {
      messages.sendJson(exchange.response, 200, call.completion);
    } else {
      exchange.response.socket?.destroy();
    }
  }

  private async handleResume(
    exchange: targetHost.TargetExchange,
    callId: string,
  ): Promise<Outcome> {
    const call = this.calls.get(callId);
    const after = Number(exchange.url.searchParams.get('after') ?? 0);
    if (call === undefined || Number.isNaN(after))
      return replies.reply(exchange, 404, replies.REFUSALS.NOT_FOUND);
    await this.stream(call, after, exchange);
    return exchange.closed.aborted ? OUTCOMES.DROPPED : OUTCOMES.FINISHED;
  }

  private listCalls(exchange: targetHost.TargetExchange): readonly unknown[] {
    const scope = exchange.url.searchParams.get('scope');
    return [...this.calls.values()]
      .filter((call) => call.outcome === undefined)
      .filter((call) => scope === null || call.request.scope === scope)
      .map(({ request }) => ({
        callId: request.callId,
        program: request.program,
        scope: request.scope,
        fencingNumber: request.fencingNumber,
      }));
  }

  private describeLoad(): unknown {
    const status = this.host.faults.leaving ? engineOrders.STATUSES.LEAVING : this.orders.status;
    const { slots, loadLagMs } = this.settings;
    return { ...this.load.reported(), slots, status, ageMs: loadLagMs };
  }

  private handleOrder(exchange: targetHost.TargetExchange): Outcome {
    const order = messages.parseJson(schemas.ORDER_BODY, exchange.body);
    if (order === undefined) return replies.reply(exchange, 400, replies.REFUSALS.INVALID);
    const isAdmitted = this.fencing.admit(order.scope, order.fencingNumber);
    if (!isAdmitted) return replies.reply(exchange, 409, replies.REFUSALS.FENCED);
    this.orders.apply(order);
    return replies.reply(exchange, 204);
  }

  private async handleTransfer(exchange: targetHost.TargetExchange): Promise<Outcome> {
    if (exchange.url.pathname === '/v1/kv/export') {
      const body = messages.parseJson(schemas.EXPORT_BODY, exchange.body);
      const exported = body && this.cache.export(body.program);
      if (exported === undefined) return replies.reply(exchange, 404, replies.REFUSALS.NOT_FOUND);
      await this.time.sleep(exported.tokens * this.settings.transferMsPerToken);
      return replies.reply(exchange, 200, exported);
    }
    const body = messages.parseJson(schemas.IMPORT_BODY, exchange.body);
    if (body === undefined) return replies.reply(exchange, 400, replies.REFUSALS.INVALID);
    await this.time.sleep(body.tokens * this.settings.transferMsPerToken);
    this.cache.import(body.program, body.blob);
    return replies.reply(exchange, 204);
  }

  private handleDelete(exchange: targetHost.TargetExchange): Outcome {
    const callId = CALL_PATH.exec(exchange.url.pathname)?.[1];
    const program = SESSION_PATH.exec(exchange.url.pathname)?.[1];
    if (callId !== undefined) this.calls.get(decodeURIComponent(callId))?.cancel();
    else if (program !== undefined) this.cache.release(decodeURIComponent(program));
    else return replies.reply(exchange, 404, replies.REFUSALS.NOT_FOUND);
    return replies.reply(exchange, 204);
  }
}
