import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import * as compactChunks from './CompactChunks.js';
import * as excludedPoolFault from './excludedPoolFault.js';
import * as processEnd from './ProcessEnd.js';
import * as routeKinds from './RouteKinds.js';
import * as sendFailures from './SendFailures.js';
import * as waitBounds from './waitBounds.js';
import type * as callContext from './CallContext.js';
import type * as crashWatch from './CrashWatch.js';
import type * as targetSender from './TargetSender.js';
import * as targetTurns from './TargetTurns.js';
import type { ResponseHead, Reply, SendFailure, Target, CompleteResponse } from './Types.js';

/** Delay before full targets are tried again. */
const FULL_RETRY_DELAY_MS = 25;

/** Full targets are tried again only during this share of the time from receipt to deadline. */
const RETRY_SHARE = 0.7;

/**
 * A repeatable call is hedged (also sent to another target) if it has no response after this
 * multiple of the route's latency objective.
 */
const HEDGE_OBJECTIVE_FACTOR = 3;

/** Minimum delay before a call is hedged. */
const MINIMUM_HEDGE_DELAY_MS = 150;

/** Maximum size of a buffered response, in bytes. */
const MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Failure of a request whose response exceeds the maximum size. */
const TOO_LARGE: SendFailure = {
  kind: sendFailures.SEND_FAILURES.LOST,
  reason: 'The answer is too large.',
  isDisconnect: false,
};

/** Retry delay for callers of a pool that is full or has no targets. */
const RETRY_AFTER_MS = 200;

const SERVER_ERROR = 500;

/** Dependencies of unary calls. */
export interface UnaryCallDependencies extends targetTurns.TargetTurnsOptions {
  readonly sender: targetSender.TargetSender;
  readonly crashes: crashWatch.CrashReporter;
  readonly processEnd: Pick<processEnd.ProcessEnd, 'maySend' | 'onEnd'>;
  readonly clock: clock.Clock;
}

/**
 * A call without streaming: its response is passed on when it is complete, or as it arrives if
 * there is no memory to collect it, in which case it can't be requested again. A call that must not be
 * repeated is sent again only if it certainly has not run. A repeatable call is also sent to
 * another target if its response is lost or late.
 */
export class UnaryCall {
  private readonly running = new Set<targetSender.SentCall>();

  private readonly turns: targetTurns.TargetTurns;

  /** Number of targets that may have run the call. */
  private attempts = 0;

  private isFinished = false;

  private lastResponse: CompleteResponse | undefined;

  /** The exchange whose response is passed on as it arrives. */
  private relayed: targetSender.SentCall | undefined;

  private deadlineTimer: clock.Timer | undefined;

  private hedgeTimer: clock.Timer | undefined;

  private endSubscription: lifetime.Disposable | undefined;

  private resolve: () => void = () => undefined;

  public constructor(
    private readonly dependencies: UnaryCallDependencies,
    private readonly context: callContext.CallContext,
    private readonly reply: Reply,
  ) {
    this.turns = new targetTurns.TargetTurns(dependencies, context, this.isRepeatable, {
      isWaiting: () => !this.isFinished && this.relayed === undefined,
      onTarget: (target) => {
        if (this.mayBeSent()) this.sendTo(target);
      },
      onNone: () => this.onNoTarget(),
      onNoTurn: (waitMs) => this.failWithoutTarget(waitMs),
    });
  }

  /** Runs the call. Resolves when it has ended and its reply, if any, has been sent. */
  public run(): Promise<void> {
    const { clock: time } = this.dependencies;
    const { call, deadline } = this.context;
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.deadlineTimer = time.startTimer(Math.max(0, deadline - time.now()), () =>
        this.onDeadline(),
      );
      call.signal.addEventListener('abort', () => this.onCallerGone(), { once: true });
      this.endSubscription = this.dependencies.processEnd.onEnd(() => this.onProcessEnd());
      this.sendNext();
    });
  }

  private get isRepeatable(): boolean {
    return this.context.route.kind === routeKinds.ROUTE_KINDS.REPEATABLE;
  }

  private get mayRetry(): boolean {
    if (this.attempts === 0) return true;
    return this.isRepeatable && this.attempts < this.context.route.maximumAttempts;
  }

  private sendNext(): void {
    if (!this.isFinished && this.relayed === undefined && this.mayBeSent()) this.turns.choose();
  }

  /** Ends the call if it must not be sent any more, also after a wait for a turn. */
  private mayBeSent(): boolean {
    const { clock: time, processEnd: end } = this.dependencies;
    const { call, deadline, targets } = this.context;
    if (call.signal.aborted && targets.length > 0 && this.running.size === 0) {
      this.finish(() => undefined);
      return false;
    }
    if (time.now() >= deadline) {
      // Requests in flight are ended by the deadline timer. If an error response has just been
      // received, `onResponse` passes it on.
      if (this.running.size === 0 && this.lastResponse === undefined) this.onDeadline();
      return false;
    }
    if (this.attempts > 0 || end.maySend(deadline)) return true;
    this.onProcessEnd();
    return false;
  }

  private onNoTarget(): void {
    if (this.running.size > 0) return;
    const { lastResponse } = this;
    if (lastResponse === undefined) this.retryFullTargets();
    else this.finish(() => this.reply.send(lastResponse));
  }

  private sendTo(target: Target): void {
    const { clock: time, sender } = this.dependencies;
    const now = time.now();
    const chunks = new compactChunks.CompactChunks();
    let head: ResponseHead | undefined;
    let size = 0;
    this.turns.tried.add(target.id);
    this.context.targets.push(target.id);
    this.attempts += 1;
    const exchange = sender.send(target, this.context.toRequest(now), {
      onHead: (received) => {
        head = received;
      },
      onData: (chunk) => {
        size += chunk.length;
        if (size <= MAXIMUM_RESPONSE_BYTES && this.take(exchange, head, chunks, chunk)) return;
        exchange.abandon();
        this.running.delete(exchange);
        this.onFailure(target, TOO_LARGE, now);
      },
      onEnd: () => {
        this.abandonEarlier(exchange);
        this.running.delete(exchange);
        if (this.relayed === exchange) this.endRelay();
        else if (head !== undefined) this.onResponse({ ...head, body: chunks.take() });
      },
      onFailure: (failure) => {
        this.running.delete(exchange);
        this.onFailure(target, failure, now);
      },
    });
    this.running.add(exchange);
    this.startHedgeTimer();
  }

  /**
   * Collects a chunk, or passes it on if there is no memory left. Returns false if neither can be
   * done: an error is not passed on while other targets may still respond.
   */
  private take(
    exchange: targetSender.SentCall,
    head: ResponseHead | undefined,
    chunks: compactChunks.CompactChunks,
    chunk: Uint8Array,
  ): boolean {
    if (this.relayed === undefined) {
      if (this.reply.reserve(chunks.push(chunk))) return true;
      if (head === undefined || (this.isRepeatable && head.status >= SERVER_ERROR)) return false;
      this.startRelay(exchange, head);
      chunks.takeParts().forEach((collected) => this.reply.write(collected));
    } else {
      this.reply.write(chunk);
    }
    pauseUntilRead(exchange, this.reply);
    return true;
  }

  private startRelay(exchange: targetSender.SentCall, head: ResponseHead): void {
    this.relayed = exchange;
    this.hedgeTimer?.cancel();
    this.running.delete(exchange);
    this.running.forEach((other) => other.abort());
    this.running.clear();
    this.running.add(exchange);
    this.reply.start(head);
  }

  private endRelay(): void {
    this.dependencies.crashes.recordCompletion(this.context);
    this.finish(() => this.reply.end());
  }

  /**
   * Abandons the requests that were sent before this one. Their targets have not responded although
   * they had more time.
   */
  private abandonEarlier(completed: targetSender.SentCall): void {
    for (const sent of this.running) {
      if (sent === completed) return;
      sent.abandon();
      this.running.delete(sent);
    }
  }

  /**
   * Starts the timer that sends a repeatable call to another target if no response arrives in time.
   */
  private startHedgeTimer(): void {
    const { clock: time } = this.dependencies;
    const { latencyObjectiveMs } = this.context.route;
    this.hedgeTimer?.cancel();
    if (!this.isRepeatable || this.attempts >= this.context.route.maximumAttempts) return;
    const delay = Math.max(MINIMUM_HEDGE_DELAY_MS, HEDGE_OBJECTIVE_FACTOR * latencyObjectiveMs);
    this.hedgeTimer = time.startTimer(delay, () => this.sendNext());
  }

  private onResponse(response: CompleteResponse): void {
    if (this.isFinished) return;
    this.dependencies.crashes.recordCompletion(this.context);
    const isError = response.status >= SERVER_ERROR;
    if (!isError || !this.isRepeatable) {
      this.finish(() => this.reply.send(response));
      return;
    }
    this.lastResponse = response;
    if (this.mayRetry) this.sendNext();
    if (this.running.size === 0 && !this.turns.isPending)
      this.finish(() => this.reply.send(response));
  }

  private onFailure(target: Target, failure: SendFailure, sentAt: clock.Milliseconds): void {
    if (this.isFinished) return;
    if (failure.kind === sendFailures.SEND_FAILURES.LOST) {
      if (failure.isDisconnect) this.dependencies.crashes.recordCrash(this.context, target, sentAt);
    } else {
      this.attempts -= 1;
    }
    if (this.mayRetry && this.relayed === undefined) {
      this.sendNext();
      return;
    }
    if (this.running.size > 0) return;
    if (this.lastResponse !== undefined && this.relayed === undefined) {
      const response = this.lastResponse;
      this.finish(() => this.reply.send(response));
    } else {
      this.fail('target-failed', failure.reason);
    }
  }

  /**
   * Tries all targets again after a delay, because full or unreachable ones may accept the call
   * then.
   */
  private retryFullTargets(): void {
    if (this.turns.isExcluded) {
      this.failWithoutTarget(excludedPoolFault.EXCLUDED_RETRY_AFTER_MS);
      return;
    }
    const { clock: time } = this.dependencies;
    const { call, deadline } = this.context;
    const latest = call.receivedAt + RETRY_SHARE * (deadline - call.receivedAt);
    if (this.turns.waitForTurn(latest)) return;
    if (time.now() + FULL_RETRY_DELAY_MS > latest) {
      this.failWithoutTarget();
      return;
    }
    time.startTimer(FULL_RETRY_DELAY_MS, () => {
      this.turns.tried.clear();
      this.sendNext();
    });
  }

  private failWithoutTarget(retryAfterMs = RETRY_AFTER_MS): void {
    if (this.attempts > 0) {
      this.fail('target-failed', 'No further target is left.');
      return;
    }
    const overrides = { run: errors.RUN_STATES.NOT_RUN, retryAfterMs };
    this.finish(() =>
      this.reply.refuse(errors.createFault('target-unavailable', undefined, overrides)),
    );
  }

  private onDeadline(): void {
    const { lastResponse } = this;
    if (lastResponse !== undefined && this.running.size === 0)
      this.finish(() => this.reply.send(lastResponse));
    else if (this.attempts === 0)
      this.finish(() => this.reply.refuse(waitBounds.deadlinePassedFault()));
    else this.fail('deadline-exceeded', 'The time of the request is over.');
  }

  private onProcessEnd(): void {
    if (this.attempts === 0) this.finish(() => this.reply.refuse(processEnd.shuttingDownFault()));
    else this.fail('deadline-exceeded', 'The process ends.');
  }

  /**
   * A call that must not be repeated continues while it is in flight, because its effect is still
   * wanted.
   */
  private onCallerGone(): void {
    if (this.isRepeatable || this.running.size === 0) this.finish(() => undefined);
  }

  private fail(kind: errors.ErrorKind, message: string): void {
    this.finish(() => {
      if (this.relayed === undefined) this.reply.refuse(errors.createFault(kind, message));
      else this.reply.abort();
    });
  }

  private finish(sendReply: () => void): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.deadlineTimer?.cancel();
    this.hedgeTimer?.cancel();
    this.endSubscription?.dispose();
    this.running.forEach((exchange) => exchange.abort());
    this.running.clear();
    sendReply();
    this.resolve();
  }
}

/** Stops receiving a response that is passed on while its caller does not read. */
async function pauseUntilRead(exchange: targetSender.SentCall, reply: Reply): Promise<void> {
  const reading = reply.awaitReader();
  if (reading === undefined) return;
  exchange.pause();
  await reading;
  exchange.resume();
}
