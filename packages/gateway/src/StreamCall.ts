import * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as turns from '@limpettack/turns';
import type * as callContext from './CallContext.js';
import * as compactChunks from './CompactChunks.js';
import type * as crashWatch from './CrashWatch.js';
import * as eventSplitter from './EventSplitter.js';
import * as heldOutput from './HeldOutput.js';
import * as excludedPoolFault from './excludedPoolFault.js';
import * as processEnd from './ProcessEnd.js';
import * as sendFailures from './SendFailures.js';
import type * as targetSender from './TargetSender.js';
import * as targetTurns from './TargetTurns.js';
import * as turnOutput from './TurnOutput.js';
import * as waitBounds from './waitBounds.js';
import type { ResponseHead, Reply, SendFailure, Target } from './Types.js';

/** Delay before full targets are tried again. */
const FULL_RETRY_DELAY_MS = 40;

/** Full targets are tried again only during this share of the time from receipt to deadline. */
const RETRY_SHARE = 0.5;

/** A resumable stream moves to another target if its first event takes longer. */
const FIRST_EVENT_TIMEOUT_MS = 1_200;

/** A resumable stream moves to another target after a longer gap between events. */
const EVENT_TIMEOUT_MS = 700;

/**
 * Maximum time that the end of a turn's stream waits for the record of its token usage after the
 * turn has been stored; enough for several appends. If the home (the VM that owns the program's
 * partition) is unreachable, the stream ends without that record, and the home charges the turn
 * with its maximum number of tokens.
 */
const USAGE_RECORD_WAIT_MS = 200;

/** Retry delay for callers of a pool that is full or has no targets. */
const RETRY_AFTER_MS = 300;

/** Maximum size of a response that is not a stream, such as an error, in bytes. */
const MAXIMUM_PLAIN_RESPONSE_BYTES = 64 * 1024;

/** Nothing more is received while this much output waits for the record of the budget, in bytes. */
const MAXIMUM_DEFERRED_BYTES = 64 * 1024;

/** Memory that an event which waits takes in addition to its content, in bytes. */
const DEFERRED_EVENT_BYTES = 400;

const OK = 200;

/** Dependencies of stream calls. */
export interface StreamCallDependencies extends targetTurns.TargetTurnsOptions {
  readonly sender: targetSender.TargetSender;
  readonly crashes: crashWatch.CrashReporter;
  readonly processEnd: Pick<processEnd.ProcessEnd, 'maySend' | 'onEnd'>;
  readonly turns: turns.TurnStore;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** The prepared inputs of a stream call. */
export interface StreamPlan {
  /** The history and the new input, as sent to the target. */
  readonly body: Uint8Array;
  /** The memory of the turn. The call releases it, at the latest when the record has been stored. */
  readonly memory: turns.MemoryReservation;
  /** The turns of the history. */
  readonly earlier?: turns.History['turns'] | undefined;
  /** Tokens in each event. */
  readonly tokensPerEvent: number;
  /**
   * Resolves to true when the log covers the turn's reservation, and to false if the call ends
   * before that. Output beyond `uncoveredTokens` is held back until it resolves to true, and is not
   * sent if it resolves to false. Undefined if the log already covers the reservation, so that nothing is held back.
   */
  readonly budgetRecorded: Promise<boolean> | undefined;
  /** Tokens that may be sent before the log covers the turn. None if undefined. */
  readonly uncoveredTokens?: number | undefined;
  /** Called when output is held back for the first time. */
  readonly onHeld?: () => void;
  /**
   * Records the token usage of a retained turn before the end of its stream is sent, so that a turn
   * that continues it finds the remaining budget. Resolves within `timeoutMs`.
   */
  readonly recordUsage: (tokens: number, timeoutMs: clock.Milliseconds) => Promise<unknown>;
}

/** How a stream ended. */
export interface StreamOutcome {
  /** Tokens that were sent to the caller. */
  readonly tokens: number;
  readonly isComplete: boolean;
  /** Whether the turn is retained, so that later turns can continue it. */
  readonly isKept: boolean;
}

interface PlainResponse {
  readonly head: ResponseHead;
  readonly body: compactChunks.CompactChunks;
}

/** A call whose response is a stream of events, passed on as they arrive. */
export class StreamCall {
  private readonly splitter = { current: new eventSplitter.EventSplitter() };

  private readonly turns: targetTurns.TargetTurns;

  private exchange: targetSender.SentCall | undefined;

  /** The exchange from which nothing is received until the caller reads. */
  private pausedExchange: targetSender.SentCall | undefined;

  private attempts = 0;

  private isFinished = false;

  /** Whether the record of the turn is being stored. It takes memory until then. */
  private isStoring = false;

  private lastEventId: number;

  private eventsSent = 0;

  private readonly output: turnOutput.TurnOutput;

  /** A response that is not a stream, such as an error. */
  private plainResponse: PlainResponse | undefined;

  private readonly heldOutput: heldOutput.HeldOutput;

  private deferredBytes = 0;

  private deadlineTimer: clock.Timer | undefined;

  private stallTimer: clock.Timer | undefined;

  private endSubscription: lifetime.Disposable | undefined;

  private resolve: (outcome: StreamOutcome) => void = () => undefined;

  public constructor(
    private readonly dependencies: StreamCallDependencies,
    private readonly context: callContext.CallContext,
    private readonly plan: StreamPlan,
    private readonly reply: Reply,
  ) {
    this.lastEventId = context.call.lastEventId ?? -1;
    this.output = new turnOutput.TurnOutput(plan.memory);
    this.turns = new targetTurns.TargetTurns(dependencies, context, context.route.isResumable, {
      isWaiting: () => !this.isFinished,
      onTarget: (target) => {
        if (this.mayBeSent()) this.sendTo(target);
      },
      onNone: () => this.retryFullTargets(),
      onNoTurn: (waitMs) => this.failWithoutTarget(waitMs),
    });
    this.heldOutput = new heldOutput.HeldOutput({
      budgetRecorded: plan.budgetRecorded,
      uncoveredTokens: plan.uncoveredTokens ?? 0,
      isFinished: () => this.isFinished,
      onHeld: plan.onHeld ?? (() => undefined),
    });
  }

  /** Runs the call. Resolves when the reply has ended or the caller has disconnected. */
  public run(): Promise<StreamOutcome> {
    const { clock: time } = this.dependencies;
    const { call, deadline } = this.context;
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.deadlineTimer = time.startTimer(Math.max(0, deadline - time.now()), () =>
        this.onDeadline(),
      );
      call.signal.addEventListener('abort', () => this.onCallerGone(), { once: true });
      this.endSubscription = this.dependencies.processEnd.onEnd(() => this.onProcessEnd());
      if (call.signal.aborted) this.onCallerGone();
      else this.sendNext();
    });
  }

  private get mayRetry(): boolean {
    const { isResumable, maximumAttempts } = this.context.route;
    return this.attempts === 0 || (isResumable && this.attempts < maximumAttempts);
  }

  private sendNext(): void {
    if (this.isFinished || !this.mayBeSent()) return;
    this.stallTimer?.cancel();
    this.turns.choose();
  }

  /** Ends the call if it is too late to send it, also after a wait for a turn. */
  private mayBeSent(): boolean {
    const { clock: time, processEnd: end } = this.dependencies;
    const { deadline } = this.context;
    if (time.now() >= deadline) {
      this.onDeadline();
      return false;
    }
    if (this.attempts > 0 || end.maySend(deadline)) return true;
    this.onProcessEnd();
    return false;
  }

  private sendTo(target: Target): void {
    const now = this.dependencies.clock.now();
    this.turns.tried.add(target.id);
    this.context.targets.push(target.id);
    this.attempts += 1;
    this.splitter.current = new eventSplitter.EventSplitter();
    this.plainResponse = undefined;
    const request = this.context.toRequest(now, {
      body: this.plan.body,
      lastEventId: this.resumePoint,
      mayReuseIdle: this.context.route.isResumable,
    });
    this.exchange = this.dependencies.sender.send(target, request, {
      onHead: (head) => this.onHead(head),
      onData: (chunk) => this.onData(chunk),
      onEnd: () => this.onEnd(),
      onFailure: (failure) => this.onFailure(target, failure, now),
    });
    this.startStallTimer(target, FIRST_EVENT_TIMEOUT_MS);
    this.target = target;
  }

  private target: Target | undefined;

  /**
   * Id of the last event that the target must skip; undefined if it must skip none. A retained turn
   * is requested from its start until an event has been sent, because its whole output is stored;
   * `forwardEvent` skips the events that the caller has already received.
   */
  private get resumePoint(): number | undefined {
    if (this.context.route.retainsTurns && this.eventsSent === 0) return undefined;
    return this.lastEventId < 0 ? undefined : this.lastEventId;
  }

  private onHead(head: ResponseHead): void {
    if (this.isFinished) return;
    if (head.status !== OK) {
      this.plainResponse = { head, body: new compactChunks.CompactChunks() };
      return;
    }
    this.head ??= head;
  }

  private head: ResponseHead | undefined;

  private onData(chunk: Uint8Array): void {
    if (this.isFinished) return;
    if (this.plainResponse !== undefined) {
      this.plainResponse.body.push(chunk);
      if (this.plainResponse.body.size > MAXIMUM_PLAIN_RESPONSE_BYTES)
        this.abandonTarget('The error is too long.');
      return;
    }
    const events = this.splitter.current.push(chunk);
    events.forEach((event) => {
      const tokens = event.data === undefined ? 0 : this.plan.tokensPerEvent;
      this.heldOutput.run(this.tokensSent + tokens, () => this.forwardEvent(event));
    });
    if (this.splitter.current.isOversized) {
      this.abandonTarget('An event of the stream is too long.');
      return;
    }
    // Only complete events restart the timer, because a failing target may send single bytes
    // indefinitely.
    if (events.length > 0 && this.target !== undefined && this.pausedExchange === undefined)
      this.startStallTimer(this.target, EVENT_TIMEOUT_MS);
    if (this.heldOutput.isHolding)
      this.deferredBytes += chunk.length + events.length * DEFERRED_EVENT_BYTES;
    const ready = this.awaitReceiver();
    if (ready !== undefined) this.pauseUntil(ready);
  }

  /**
   * Resolves when the caller reads, and output may be sent to it. Undefined if more can be received
   * from the target at once.
   */
  private awaitReceiver(): Promise<unknown> | undefined {
    const isHeld = this.heldOutput.isHolding && this.deferredBytes > MAXIMUM_DEFERRED_BYTES;
    return isHeld ? this.plan.budgetRecorded : this.reply.awaitReader();
  }

  /**
   * Stops receiving from the target while the output cannot be passed on. The target is not late
   * meanwhile. The deadline of the request bounds the wait.
   */
  private async pauseUntil(ready: Promise<unknown>): Promise<void> {
    const { exchange, target } = this;
    if (exchange === undefined || exchange === this.pausedExchange) return;
    this.pausedExchange = exchange;
    this.stallTimer?.cancel();
    exchange.pause();
    await ready;
    this.pausedExchange = undefined;
    exchange.resume();
    if (this.isFinished || exchange !== this.exchange || target === undefined) return;
    this.startStallTimer(target, EVENT_TIMEOUT_MS);
  }

  /**
   * Cancels the request to a target that stalls or sends an invalid response, then retries or fails
   * the call.
   */
  private abandonTarget(reason: string): void {
    this.exchange?.abandon();
    this.retryOrFail(reason);
  }

  private forwardEvent(event: eventSplitter.ServerSentEvent): void {
    if (this.isFinished) return;
    if (this.context.route.retainsTurns && !this.output.add(event)) {
      this.exchange?.abort();
      this.fail('target-failed', 'The output is too long to be retained.');
      return;
    }
    if (event.id !== undefined && event.id <= this.lastEventId) return;
    if (!this.reply.hasStarted && this.head !== undefined) this.reply.start(this.head);
    this.lastEventId = event.id ?? this.lastEventId;
    if (event.data !== undefined) this.eventsSent += 1;
    this.reply.write(event.bytes);
  }

  private onEnd(): void {
    if (this.isFinished) return;
    this.stallTimer?.cancel();
    this.heldOutput.run(this.tokensSent, () => this.finishStream());
  }

  private finishStream(): void {
    if (this.isFinished) return;
    const { plainResponse } = this;
    if (plainResponse !== undefined) {
      this.dependencies.crashes.recordCompletion(this.context);
      // The caller has part of a stream, so an error response can no longer be passed on.
      if (this.reply.hasStarted) {
        this.retryOrFail(`The target that was to resume answered ${plainResponse.head.status}.`);
        return;
      }
      this.reply.send({ ...plainResponse.head, body: plainResponse.body.take() });
      this.finish(false, false);
      return;
    }
    if (this.splitter.current.isWithinEvent) {
      this.retryOrFail('The stream ends within an event.');
      return;
    }
    this.dependencies.crashes.recordCompletion(this.context);
    if (this.context.route.retainsTurns) this.retainTurn();
    else this.complete(false);
  }

  private complete(isKept: boolean): void {
    if (!this.reply.hasStarted && this.head !== undefined) this.reply.start(this.head);
    const trailingLines = this.splitter.current.takeTrailingLines();
    if (trailingLines.length > 0) this.reply.write(trailingLines);
    this.reply.end();
    this.finish(true, isKept);
  }

  /**
   * Stores the turn, then ends the stream. The end confirms to the caller that the turn is
   * retained. While the log is unavailable it waits as long as the caller does: a caller whose
   * stream is aborted earlier can only run the whole turn again.
   */
  private async retainTurn(): Promise<void> {
    const { clock: time, turns: store } = this.dependencies;
    const { call, deadline, route, workspace } = this.context;
    const timeoutMs = deadline - time.now();
    const turn = {
      id: call.id,
      previous: call.programContext?.previousTurn,
      earlier: this.plan.earlier,
      workspace: workspace?.name ?? '',
      content: this.output.recordContent(call.body),
      retentionMs: route.retentionMs,
      maximumRunMs: route.timeoutMs,
    };
    const recorded = this.plan.recordUsage(this.tokensSent, timeoutMs);
    this.isStoring = true;
    const retained = await store.keep(turn, timeoutMs);
    this.isStoring = false;
    if (this.isFinished) this.plan.memory.dispose();
    if (retained.isOk) await clock.withTimeout(time, USAGE_RECORD_WAIT_MS, recorded);
    if (this.isFinished) return;
    if (retained.isOk) {
      this.complete(true);
      return;
    }
    this.reply.abort();
    this.finish(false, false);
  }

  private onFailure(target: Target, failure: SendFailure, sentAt: clock.Milliseconds): void {
    if (this.isFinished) return;
    if (failure.kind !== sendFailures.SEND_FAILURES.LOST) {
      this.attempts -= 1;
      this.sendNext();
      return;
    }
    if (failure.isDisconnect) this.dependencies.crashes.recordCrash(this.context, target, sentAt);
    this.retryOrFail(failure.reason);
  }

  private retryOrFail(reason: string): void {
    this.stallTimer?.cancel();
    this.exchange = undefined;
    if (this.mayRetry) {
      this.sendNext();
      return;
    }
    this.fail('target-failed', reason);
  }

  private startStallTimer(target: Target, limitMs: clock.Milliseconds): void {
    this.stallTimer?.cancel();
    if (!this.context.route.isResumable) return;
    if (this.attempts >= this.context.route.maximumAttempts) return;
    this.stallTimer = this.dependencies.clock.startTimer(limitMs, () => this.onStall(target));
  }

  private onStall(target: Target): void {
    if (this.isFinished) return;
    this.dependencies.logger.warn('A stream stalled and resumes at another target.', {
      request: this.context.call.id,
      target: target.id,
      offset: this.lastEventId,
    });
    this.abandonTarget('The stream fell silent.');
  }

  private retryFullTargets(): void {
    if (this.turns.isExcluded) {
      this.failWithoutTarget(excludedPoolFault.EXCLUDED_RETRY_AFTER_MS);
      return;
    }
    const { clock: time } = this.dependencies;
    const { call, deadline } = this.context;
    const latest = call.receivedAt + RETRY_SHARE * (deadline - call.receivedAt);
    if (this.turns.waitForTurn(latest)) return;
    if (time.now() + FULL_RETRY_DELAY_MS <= latest) {
      time.startTimer(FULL_RETRY_DELAY_MS, () => {
        this.turns.tried.clear();
        this.sendNext();
      });
      return;
    }
    this.failWithoutTarget();
  }

  private failWithoutTarget(retryAfterMs = RETRY_AFTER_MS): void {
    if (this.attempts > 0) {
      this.fail('target-failed', 'No further target is left.');
      return;
    }
    const overrides = { run: errors.RUN_STATES.NOT_RUN, retryAfterMs };
    this.reply.refuse(errors.createFault('target-unavailable', undefined, overrides));
    this.finish(false, false);
  }

  private onDeadline(): void {
    if (this.isFinished) return;
    if (this.attempts === 0) {
      this.reply.refuse(waitBounds.deadlinePassedFault());
      this.finish(false, false);
      return;
    }
    this.exchange?.abort();
    this.fail('deadline-exceeded', 'The time of the request is over.');
  }

  private onProcessEnd(): void {
    if (this.isFinished) return;
    if (this.attempts === 0) {
      this.reply.refuse(processEnd.shuttingDownFault());
      this.finish(false, false);
      return;
    }
    this.exchange?.abort();
    this.fail('deadline-exceeded', 'The process ends.');
  }

  private onCallerGone(): void {
    if (this.isFinished) return;
    this.exchange?.abort();
    this.reply.abort();
    this.finish(false, false);
  }

  private fail(kind: errors.ErrorKind, message: string): void {
    if (this.reply.hasStarted) this.reply.abort();
    else this.reply.refuse(errors.createFault(kind, message));
    this.finish(false, false);
  }

  private finish(isComplete: boolean, isKept: boolean): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.deadlineTimer?.cancel();
    this.stallTimer?.cancel();
    this.endSubscription?.dispose();
    if (!this.isStoring) this.plan.memory.dispose();
    this.resolve({ tokens: this.tokensSent, isComplete, isKept });
  }

  private get tokensSent(): number {
    return this.eventsSent * this.plan.tokensPerEvent;
  }
}
