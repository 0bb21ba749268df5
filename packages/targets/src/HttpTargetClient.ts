import * as events from 'node:events';
import type * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as zod from 'zod';
import type {
  EngineHolding,
  ModelCall,
  ModelChunk,
  RunningCall,
  ServiceResponse,
  ServiceCall,
  TargetClient,
  TargetReader,
  TargetResult,
} from './Types.js';
import * as chunks from './chunks.js';
import * as exchanges from './exchange.js';
import * as failures from './failures.js';
import * as headers from './headers.js';
import * as linkedSignals from './LinkedSignal.js';
import * as modelRuns from './ModelRun.js';
import * as probes from './probe.js';
import type * as connections from './TargetConnection.js';
import * as targetFailures from './TargetFailures.js';
import type { TargetLookup } from './TargetLookup.js';

const { BROKEN, DIED, FENCED, NOT_SENT } = targetFailures.TARGET_FAILURES;

const NOT_FOUND_STATUS = 404;
const CONFLICT_STATUS = 409;
const FIRST_ERROR_STATUS = 400;

/** Time limit for control requests, such as reading a status or cancelling a call. */
const CONTROL_TIMEOUT_MS = 2_000;

/** Maximum attempts to cancel an abandoned call, and the pause between them. */
const CANCEL_ATTEMPTS = 3;
const CANCEL_INTERVAL_MS = 1_000;

const RUNNING = zod.object({
  calls: zod.array(
    zod.object({
      callId: zod.string(),
      program: zod.string().nullish(),
      scope: zod.string().nullish(),
      fencingNumber: zod.number().nullish(),
    }),
  ),
});

const SESSIONS = zod.object({
  sessions: zod.array(zod.object({ program: zod.string(), tokens: zod.number() })),
});

/** Dependencies of the client. */
export interface HttpTargetClientOptions {
  readonly lookup: TargetLookup;
  /** Credentials from the settings, by name. */
  readonly credentials: ReadonlyMap<string, string>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Checked right before a call is sent. If false, the call fails with `not-sent`. */
  readonly mayTakeWork?: (target: string) => boolean;
  /** Fires with the name of an unresponsive target, whose idle streams are then abandoned. */
  readonly onUnreachable?: lifetime.Event<string>;
}

interface PooledTarget {
  readonly target: configuration.Target;
  readonly pool: configuration.Pool;
}

/** Calls targets over HTTP/1.1, with a separate connection for each call. */
export class HttpTargetClient implements TargetClient, TargetReader {
  private readonly disposables = new lifetime.DisposableStore();

  private readonly stop = new AbortController();

  public constructor(private readonly options: HttpTargetClientOptions) {
    this.disposables.addCallback(() => this.stop.abort());
    // Each running call adds a listener, so a warning about many listeners would be misleading.
    events.EventEmitter.setMaxListeners(0, this.stop.signal);
  }

  /** @inheritdoc */
  public async *runModel(
    call: ModelCall,
    signal: AbortSignal,
  ): AsyncGenerator<TargetResult<ModelChunk>> {
    const isNew = call.resumeAfter === undefined;
    const entry = this.find(call.target, call.pool);
    if (!entry || (isNew && !this.mayTakeWork(call.target))) {
      yield failures.failed(NOT_SENT, 'The target takes no work.');
      return;
    }
    const run = new modelRuns.ModelRun(call, {
      url: entry.target.url,
      pool: entry.pool,
      credentials: this.options.credentials,
      clock: this.options.clock,
    });
    const cancelOnce = once(() => this.cancelUntilDone(call.target, call.callId));
    const onAbort = (): void => {
      if (run.mayBeRunning) cancelOnce();
    };
    const linked = new linkedSignals.LinkedSignal([signal, this.stop.signal]);
    linked.signal.addEventListener('abort', onAbort, { once: true });
    const subscription = this.options.onUnreachable?.((target) => {
      if (target === call.target) run.noteUnreachable();
    });
    try {
      yield* run.run(linked.signal);
    } finally {
      await subscription?.dispose();
      linked.dispose();
      if (run.mayBeRunning) cancelOnce();
    }
  }

  /** @inheritdoc */
  public async callService(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<TargetResult<ServiceResponse>> {
    const entry = this.find(call.target, call.pool);
    if (!entry || !this.mayTakeWork(call.target)) {
      return failures.failed(NOT_SENT, 'The target takes no work.');
    }
    const request = {
      method: call.method,
      path: call.path,
      headers: { ...headers.serviceHeaders(call), ...this.credential(entry.pool) },
      body: call.body,
    };
    const linked = new linkedSignals.LinkedSignal([signal, this.stop.signal]);
    const response = await exchanges.exchange(request, {
      url: entry.target.url,
      clock: this.options.clock,
      connectMs: entry.pool.timeLimits.connectMs,
      totalMs: entry.pool.timeLimits.totalMs,
      signal: linked.signal,
    });
    linked.dispose();
    if (response.isErr && response.error.kind === BROKEN) return this.classifyBrokenCall(entry);
    if (response.isOk && isFenced(response.value)) {
      return failures.failed(FENCED, 'The target refused the fencing number.');
    }
    return response;
  }

  /** @inheritdoc */
  public async queryOutcome(
    pool: string,
    target: string,
    idempotencyKey: string,
  ): Promise<TargetResult<ServiceResponse | undefined>> {
    const query = this.options.lookup.pool(pool)?.outcomeQuery;
    if (!query) return failures.invalid('The pool names no outcome query.');
    const path = query.replaceAll('{key}', encodeURIComponent(idempotencyKey));
    const response = await this.request(target, 'GET', path);
    if (response.isOk && response.value.status === NOT_FOUND_STATUS) {
      return trueMyth.Result.ok(undefined);
    }
    return response.andThen(refuseErrorStatus);
  }

  /** @inheritdoc */
  public cancel(target: string, callId: string): Promise<TargetResult<void>> {
    return this.requestDeletion(target, `/v1/calls/${encodeURIComponent(callId)}`);
  }

  /** @inheritdoc */
  public async running(
    target: string,
    scope: string,
  ): Promise<TargetResult<readonly RunningCall[]>> {
    const path = `/v1/calls?scope=${encodeURIComponent(scope)}`;
    const response = await this.read(target, path, RUNNING);
    return response.map(({ calls }) =>
      calls.map((call) => ({
        callId: call.callId,
        program: call.program ?? '',
        fencing: { scope: call.scope ?? scope, number: call.fencingNumber ?? 0 },
      })),
    );
  }

  /** @inheritdoc */
  public release(target: string, program: string): Promise<TargetResult<void>> {
    return this.requestDeletion(target, `/v1/sessions/${encodeURIComponent(program)}`);
  }

  /** @inheritdoc */
  public async holdings(target: string): Promise<TargetResult<readonly EngineHolding[]>> {
    const response = await this.read(target, '/v1/sessions', SESSIONS);
    return response.map(({ sessions }) => sessions);
  }

  /** @inheritdoc */
  public async read<Document>(
    target: string,
    path: string,
    schema: zod.ZodType<Document>,
    limitMs: clock.Milliseconds = CONTROL_TIMEOUT_MS,
  ): Promise<TargetResult<Document>> {
    const response = (await this.request(target, 'GET', path, limitMs)).andThen(refuseErrorStatus);
    return response.andThen((value): TargetResult<Document> => {
      const text = Buffer.from(value.body).toString('utf8');
      const document = schema.safeParse(chunks.parseJson(text));
      if (!document.success) return failures.invalid('The answer is malformed.');
      return trueMyth.Result.ok(document.data);
    });
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.disposables.dispose();
  }

  private async requestDeletion(target: string, path: string): Promise<TargetResult<void>> {
    const response = (await this.request(target, 'DELETE', path)).andThen(refuseErrorStatus);
    return response.map(() => undefined);
  }

  private async request(
    target: string,
    method: string,
    path: string,
    totalMs: clock.Milliseconds = CONTROL_TIMEOUT_MS,
  ): Promise<TargetResult<ServiceResponse>> {
    const found = this.options.lookup.target(target);
    if (!found) return failures.failed(NOT_SENT, 'The target is not known.');
    const pool = this.options.lookup.lastPoolOf(target);
    const request: connections.TargetRequest = { method, path, headers: this.credential(pool) };
    return exchanges.exchange(request, {
      url: found.url,
      clock: this.options.clock,
      connectMs: pool?.timeLimits.connectMs ?? CONTROL_TIMEOUT_MS,
      totalMs,
      signal: this.stop.signal,
    });
  }

  private async classifyBrokenCall(entry: PooledTarget): Promise<TargetResult<ServiceResponse>> {
    const alive = await probes.isAlive(entry.target, entry.pool, this.options.clock);
    return alive
      ? failures.failed(BROKEN, 'The connection broke, but the target answers on a new one.')
      : failures.failed(DIED, 'The connection broke and the target cannot be reached.');
  }

  /** Cancels an abandoned call, with retries, so that the engine stops running it. */
  private cancelUntilDone(target: string, callId: string): void {
    const attempt = async (): Promise<void> => {
      for (let count = 0; count < CANCEL_ATTEMPTS && !this.stop.signal.aborted; count += 1) {
        const done = await this.cancel(target, callId);
        if (done.isOk) return;
        await this.options.clock.sleep(CANCEL_INTERVAL_MS, this.stop.signal);
      }
      if (this.stop.signal.aborted) return;
      this.options.logger.warn('A call could not be cancelled.', { target });
    };
    attempt().catch(() => undefined);
  }

  private find(targetName: string, poolName: string): PooledTarget | undefined {
    const pool = this.options.lookup.pool(poolName);
    const target = this.options.lookup.target(targetName);
    return pool && target ? { pool, target } : undefined;
  }

  private mayTakeWork(target: string): boolean {
    const isInPool = this.options.lookup.poolOf(target) !== undefined;
    return isInPool && (this.options.mayTakeWork?.(target) ?? true);
  }

  private credential(pool: configuration.Pool | undefined): Record<string, string> {
    return headers.credentialHeaders(pool, this.options.credentials);
  }
}

function refuseErrorStatus(response: ServiceResponse): TargetResult<ServiceResponse> {
  if (response.status >= FIRST_ERROR_STATUS) return failures.refused(response.status);
  return trueMyth.Result.ok(response);
}

function isFenced(response: ServiceResponse): boolean {
  if (response.status !== CONFLICT_STATUS) return false;
  return Buffer.from(response.body).toString('utf8').includes('"fenced"');
}

function once(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (isDone) return;
    isDone = true;
    action();
  };
}
