import * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as logging from '@limpettack/logging';
import type * as turns from '@limpettack/turns';
import type * as callContext from './CallContext.js';
import type * as crashWatch from './CrashWatch.js';
import * as eventSplitter from './EventSplitter.js';
import * as sendFailures from './SendFailures.js';
import type * as targetSelector from './TargetSelector.js';
import type * as targetSender from './TargetSender.js';
import * as waitBounds from './waitBounds.js';
import type { AnswerHead, Reply, SendFailure, Target } from './Types.js';

/** Pause before targets that were all full are asked again. */
const FULL_PAUSE_MS = 40;

/** A full pool is asked again until this part of the time is over. */
const ASKING_SHARE = 0.5;

/** A resumable stream goes on elsewhere after such a silence before its first event. */
const FIRST_SILENCE_MS = 1_200;

/** A resumable stream goes on elsewhere after such a silence between events. */
const SILENCE_MS = 700;

/** The longest that the end of a kept turn waits for the log. */
const LONGEST_KEEP_MS = 3_000;

/**
 * How long the end of a turn that is kept waits on for the record of what it used: several appends.
 * A home that cannot be reached must not hold up a program; it counts the turn at its most.
 */
const RECORD_GRACE_MS = 200;

/** When callers of a pool that is full or without targets may come back. */
const COME_BACK_MS = 300;

/** The largest answer that is no stream, such as an error, in bytes. */
const LARGEST_PLAIN_BYTES = 64 * 1024;

const OK = 200;

const LINE_FEED = Buffer.from('\n');

/** What calls with streams need. */
export interface StreamCallParts {
  readonly selector: targetSelector.TargetSelector;
  readonly sender: targetSender.TargetSender;
  readonly crashes: crashWatch.CrashNotes;
  readonly turns: turns.TurnStore;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** What is known of a stream before it is sent. */
export interface StreamPlan {
  /** The history and the new input, as the target gets them. */
  readonly body: Uint8Array;
  /** The turns that the history consists of. */
  readonly earlier?: turns.History['turns'] | undefined;
  /** Tokens in each event. */
  readonly tokensPerEvent: number;
  /** Until then nothing may be handed to the caller; nothing when that is so from the start. */
  readonly covered: Promise<boolean> | undefined;
  /**
   * Has what a kept turn handed out put on record before its end is sent, so that a program that
   * goes on from it finds the rest of its budget. Resolves at the latest after the time.
   */
  readonly recordUse: (tokens: number, timeoutMs: clock.Milliseconds) => Promise<unknown>;
}

/** How a stream has ended. */
export interface StreamOutcome {
  /** Tokens that were handed to the caller. */
  readonly tokens: number;
  readonly isComplete: boolean;
  readonly isKept: boolean;
}

interface PlainAnswer {
  readonly head: AnswerHead;
  readonly chunks: Uint8Array[];
  size: number;
}

/** A call that is answered by events, passed on as they come. */
export class StreamCall {
  private readonly splitter = { current: new eventSplitter.EventSplitter() };

  private readonly tried = new Set<string>();

  private exchange: targetSender.SentCall | undefined;

  private runs = 0;

  private isOver = false;

  private lastEventId: number;

  private lastCollectedId = -1;

  private eventsSent = 0;

  private readonly output: Buffer[] = [];

  /** The answer of a target that does not stream, such as an error. */
  private plainAnswer: PlainAnswer | undefined;

  /** What the target has sent while nothing may be handed out yet. */
  private held: (() => void)[] | undefined;

  private timer: clock.Timer | undefined;

  private silence: clock.Timer | undefined;

  private resolve: (outcome: StreamOutcome) => void = () => undefined;

  public constructor(
    private readonly parts: StreamCallParts,
    private readonly context: callContext.CallContext,
    private readonly plan: StreamPlan,
    private readonly reply: Reply,
  ) {
    this.lastEventId = context.call.lastEventId ?? -1;
    if (plan.covered !== undefined) this.holdUntil(plan.covered);
  }

  /** Runs the call to the end of its stream. */
  public run(): Promise<StreamOutcome> {
    const { clock: time } = this.parts;
    const { call, deadline } = this.context;
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.timer = time.startTimer(Math.max(0, deadline - time.now()), () => this.onDeadline());
      call.gone.addEventListener('abort', () => this.onCallerGone(), { once: true });
      if (call.gone.aborted) this.onCallerGone();
      else this.sendNext();
    });
  }

  private get mayRunAgain(): boolean {
    const { isResumable, maximumAttempts } = this.context.route;
    return this.runs === 0 || (isResumable && this.runs < maximumAttempts);
  }

  private sendNext(): void {
    if (this.isOver) return;
    const { affinity, deadline, pool } = this.context;
    if (this.parts.clock.now() >= deadline) {
      this.onDeadline();
      return;
    }
    const target = this.parts.selector.select(pool, affinity, this.tried);
    if (target === undefined) this.waitForRoom();
    else this.sendTo(target);
  }

  private sendTo(target: Target): void {
    const now = this.parts.clock.now();
    this.tried.add(target.id);
    this.context.targets.push(target.id);
    this.runs += 1;
    this.splitter.current = new eventSplitter.EventSplitter();
    this.plainAnswer = undefined;
    const request = this.context.toRequest(now, {
      body: this.plan.body,
      lastEventId: this.resumePoint,
      mayReuseIdle: this.context.route.isResumable,
    });
    this.exchange = this.parts.sender.send(target, request, {
      onHead: (head) => this.onHead(head),
      onData: (chunk) => this.onData(chunk),
      onEnd: () => this.onEnd(),
      onFailure: (failure) => this.onFailure(target, failure, now),
    });
    this.watchSilence(target, FIRST_SILENCE_MS);
    this.target = target;
  }

  private target: Target | undefined;

  /**
   * Where the target goes on. A turn that is kept is asked for from its start, because its whole
   * output is needed; what the caller has already is left out here.
   */
  private get resumePoint(): number | undefined {
    if (this.context.route.keepsTurns && this.eventsSent === 0) return undefined;
    return this.lastEventId < 0 ? undefined : this.lastEventId;
  }

  private onHead(head: AnswerHead): void {
    if (this.isOver) return;
    if (head.status !== OK) {
      this.plainAnswer = { head, chunks: [], size: 0 };
      return;
    }
    this.head ??= head;
  }

  private head: AnswerHead | undefined;

  private onData(chunk: Uint8Array): void {
    if (this.isOver) return;
    if (this.plainAnswer !== undefined) {
      this.plainAnswer.chunks.push(chunk);
      this.plainAnswer.size += chunk.length;
      if (this.plainAnswer.size > LARGEST_PLAIN_BYTES) this.dropTarget('The error is too long.');
      return;
    }
    const events = this.splitter.current.push(chunk);
    events.forEach((event) => this.whenCovered(() => this.passOn(event)));
    if (this.splitter.current.isOverfull) {
      this.dropTarget('An event of the stream is too long.');
      return;
    }
    // Only whole events count, since a target that fails may send single bytes for ever.
    if (events.length > 0 && this.target !== undefined) this.watchSilence(this.target, SILENCE_MS);
  }

  /** Gives up the target, because what it sends is no answer. */
  private dropTarget(reason: string): void {
    this.exchange?.giveUp();
    this.retryOrFail(reason);
  }

  private passOn(event: eventSplitter.StreamEvent): void {
    this.collect(event);
    if (event.id !== undefined && event.id <= this.lastEventId) return;
    if (!this.reply.hasStarted && this.head !== undefined) this.reply.start(this.head);
    this.lastEventId = event.id ?? this.lastEventId;
    this.eventsSent += 1;
    this.reply.write(event.bytes);
  }

  /** Keeps the output of a turn, each event once. */
  private collect(event: eventSplitter.StreamEvent): void {
    if (!this.context.route.keepsTurns) return;
    if (event.id !== undefined && event.id <= this.lastCollectedId) return;
    this.lastCollectedId = event.id ?? this.lastCollectedId;
    this.output.push(Buffer.from(eventSplitter.eventData(event)), LINE_FEED);
  }

  private holdUntil(covered: Promise<boolean>): void {
    const held: (() => void)[] = [];
    this.held = held;
    covered.then((isCovered) => {
      if (!isCovered || this.isOver) return;
      this.held = undefined;
      held.forEach((step) => step());
    });
  }

  private whenCovered(step: () => void): void {
    if (this.held === undefined) step();
    else this.held.push(step);
  }

  private onEnd(): void {
    if (this.isOver) return;
    this.silence?.cancel();
    this.whenCovered(() => this.finishStream());
  }

  private finishStream(): void {
    if (this.isOver) return;
    this.parts.crashes.noteCompleted(this.context);
    const { plainAnswer } = this;
    if (plainAnswer !== undefined) {
      const body = Buffer.concat(plainAnswer.chunks);
      if (this.reply.hasStarted) this.reply.breakOff();
      else this.reply.send({ ...plainAnswer.head, body });
      this.finish(false, false);
      return;
    }
    if (this.splitter.current.heldBytes > 0) {
      this.retryOrFail('The stream ends within an event.');
      return;
    }
    if (this.context.route.keepsTurns) this.keepTurn();
    else this.complete(false);
  }

  private complete(isKept: boolean): void {
    if (!this.reply.hasStarted && this.head !== undefined) this.reply.start(this.head);
    this.reply.end();
    this.finish(true, isKept);
  }

  /** The end of a turn says that it is kept, so it waits for the log. */
  private async keepTurn(): Promise<void> {
    const { clock: time, turns: store } = this.parts;
    const { call, deadline, route, workspace } = this.context;
    const timeoutMs = Math.min(LONGEST_KEEP_MS, deadline - time.now());
    const turn = {
      id: call.id,
      previous: call.place?.previousTurn,
      earlier: this.plan.earlier,
      workspace: workspace?.name ?? '',
      content: Buffer.concat([call.body, ...this.output]),
      retentionMs: route.retentionMs,
    };
    const recorded = this.plan.recordUse(this.tokensSent, timeoutMs);
    const kept = await store.keep(turn, timeoutMs);
    if (kept.isOk) await clock.within(time, RECORD_GRACE_MS, recorded);
    if (this.isOver) return;
    if (kept.isOk) {
      this.complete(true);
      return;
    }
    this.reply.breakOff();
    this.finish(false, false);
  }

  private onFailure(target: Target, failure: SendFailure, sentAt: clock.Milliseconds): void {
    if (this.isOver) return;
    if (failure.kind !== sendFailures.SEND_FAILURES.LOST) {
      this.runs -= 1;
      this.sendNext();
      return;
    }
    if (failure.isDisconnect) this.parts.crashes.noteDeath(this.context, target, sentAt);
    this.retryOrFail(failure.reason);
  }

  private retryOrFail(reason: string): void {
    this.silence?.cancel();
    this.exchange = undefined;
    if (this.mayRunAgain) {
      this.sendNext();
      return;
    }
    this.fail('target-failed', reason);
  }

  private watchSilence(target: Target, limitMs: clock.Milliseconds): void {
    this.silence?.cancel();
    if (!this.context.route.isResumable) return;
    if (this.runs >= this.context.route.maximumAttempts) return;
    this.silence = this.parts.clock.startTimer(limitMs, () => this.onSilence(target));
  }

  private onSilence(target: Target): void {
    if (this.isOver) return;
    this.parts.logger.warn('A stream fell silent and goes on elsewhere.', {
      request: this.context.call.id,
      target: target.id,
      offset: this.lastEventId,
    });
    this.dropTarget('The stream fell silent.');
  }

  private waitForRoom(): void {
    const { clock: time } = this.parts;
    const { call, deadline } = this.context;
    const latest = call.receivedAt + ASKING_SHARE * (deadline - call.receivedAt);
    if (time.now() + FULL_PAUSE_MS <= latest) {
      time.startTimer(FULL_PAUSE_MS, () => {
        this.tried.clear();
        this.sendNext();
      });
      return;
    }
    if (this.runs > 0) {
      this.fail('target-failed', 'No further target is left.');
      return;
    }
    const overrides = { run: errors.RUN_STATES.NOT_RUN, retryAfterMs: COME_BACK_MS };
    this.reply.refuse(errors.createFault('target-unavailable', undefined, overrides));
    this.finish(false, false);
  }

  private onDeadline(): void {
    if (this.isOver) return;
    if (this.runs === 0) {
      this.reply.refuse(waitBounds.refusalOfLate());
      this.finish(false, false);
      return;
    }
    this.exchange?.abort();
    this.fail('deadline-exceeded', 'The time of the request is over.');
  }

  private onCallerGone(): void {
    if (this.isOver) return;
    this.exchange?.abort();
    this.reply.breakOff();
    this.finish(false, false);
  }

  private fail(kind: errors.ErrorKind, message: string): void {
    if (this.reply.hasStarted) this.reply.breakOff();
    else this.reply.refuse(errors.createFault(kind, message));
    this.finish(false, false);
  }

  private finish(isComplete: boolean, isKept: boolean): void {
    if (this.isOver) return;
    this.isOver = true;
    this.timer?.cancel();
    this.silence?.cancel();
    this.resolve({ tokens: this.tokensSent, isComplete, isKept });
  }

  private get tokensSent(): number {
    return this.eventsSent * this.plan.tokensPerEvent;
  }
}
