import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as routeKinds from './RouteKinds.js';
import * as sendFailures from './SendFailures.js';
import * as waitBounds from './waitBounds.js';
import type * as callContext from './CallContext.js';
import type * as crashWatch from './CrashWatch.js';
import type * as targetSelector from './TargetSelector.js';
import type * as targetSender from './TargetSender.js';
import type { AnswerHead, Reply, SendFailure, Target, WholeAnswer } from './Types.js';

/** Pause before targets that were all full are asked again. */
const FULL_PAUSE_MS = 25;

/** A full pool is asked again until this part of the time is over. */
const ASKING_SHARE = 0.7;

/** A repeatable call also goes to a second target after this many times its objective. */
const HEDGE_OBJECTIVES = 3;

/** The shortest wait before a second target is asked. */
const SHORTEST_HEDGE_MS = 150;

/** The largest answer that is held, in bytes. */
const LARGEST_ANSWER_BYTES = 16 * 1024 * 1024;

/** What became of an answer beyond that size. */
const TOO_LARGE: SendFailure = {
  kind: sendFailures.SEND_FAILURES.LOST,
  reason: 'The answer is too large.',
  isDisconnect: false,
};

/** When callers of a pool that is full or without targets may come back. */
const COME_BACK_MS = 200;

const SERVER_ERROR = 500;

/** What calls with whole answers need. */
export interface WholeCallParts {
  readonly selector: targetSelector.TargetSelector;
  readonly sender: targetSender.TargetSender;
  readonly crashes: crashWatch.CrashNotes;
  readonly clock: clock.Clock;
}

/**
 * A call whose answer is passed on whole. One that must not be repeated goes out again only if it
 * surely has not run. A repeatable one goes to another target when its answer is lost or late.
 */
export class WholeCall {
  private readonly running = new Set<targetSender.SentCall>();

  /** Targets that were tried since the last pause. */
  private readonly tried = new Set<string>();

  /** Targets that may have run the call. */
  private runs = 0;

  private isOver = false;

  private lastAnswer: WholeAnswer | undefined;

  private timer: clock.Timer | undefined;

  private hedgeTimer: clock.Timer | undefined;

  private resolve: () => void = () => undefined;

  public constructor(
    private readonly parts: WholeCallParts,
    private readonly context: callContext.CallContext,
    private readonly reply: Reply,
  ) {}

  /** Runs the call to its answer. */
  public run(): Promise<void> {
    const { clock: time } = this.parts;
    const { call, deadline } = this.context;
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.timer = time.startTimer(Math.max(0, deadline - time.now()), () => this.onDeadline());
      call.gone.addEventListener('abort', () => this.onCallerGone(), { once: true });
      this.sendNext();
    });
  }

  private get isRepeatable(): boolean {
    return this.context.route.kind === routeKinds.ROUTE_KINDS.REPEATABLE;
  }

  private get mayRunAgain(): boolean {
    if (this.runs === 0) return true;
    return this.isRepeatable && this.runs < this.context.route.maximumAttempts;
  }

  private sendNext(): void {
    if (this.isOver) return;
    const { affinity, deadline, pool } = this.context;
    if (this.parts.clock.now() >= deadline) {
      // What still runs is ended by the timer; an error that is at hand is passed on instead.
      if (this.running.size === 0 && this.lastAnswer === undefined) this.onDeadline();
      return;
    }
    const target = this.parts.selector.select(pool, affinity, this.tried);
    if (target !== undefined) this.sendTo(target);
    else if (this.running.size === 0) this.waitForRoom();
  }

  private sendTo(target: Target): void {
    const { clock: time, sender } = this.parts;
    const now = time.now();
    const chunks: Uint8Array[] = [];
    let head: AnswerHead | undefined;
    let size = 0;
    this.tried.add(target.id);
    this.context.targets.push(target.id);
    this.runs += 1;
    const exchange = sender.send(target, this.context.toRequest(now), {
      onHead: (received) => {
        head = received;
      },
      onData: (chunk) => {
        chunks.push(chunk);
        size += chunk.length;
        if (size <= LARGEST_ANSWER_BYTES) return;
        exchange.giveUp();
        this.running.delete(exchange);
        this.onFailure(target, TOO_LARGE, now);
      },
      onEnd: () => {
        this.giveUpEarlier(exchange);
        this.running.delete(exchange);
        if (head !== undefined) this.onAnswer({ ...head, body: Buffer.concat(chunks) });
      },
      onFailure: (failure) => {
        this.running.delete(exchange);
        this.onFailure(target, failure, now);
      },
    });
    this.running.add(exchange);
    this.startHedge();
  }

  /** A target that a later one has overtaken was silent for longer than a good one needs. */
  private giveUpEarlier(answered: targetSender.SentCall): void {
    for (const sent of this.running) {
      if (sent === answered) return;
      sent.giveUp();
      this.running.delete(sent);
    }
  }

  /** Asks a second target when the first one is late. */
  private startHedge(): void {
    const { clock: time } = this.parts;
    const { objectiveMs } = this.context.route;
    if (!this.isRepeatable || this.runs >= this.context.route.maximumAttempts) return;
    this.hedgeTimer?.cancel();
    const delay = Math.max(SHORTEST_HEDGE_MS, HEDGE_OBJECTIVES * objectiveMs);
    this.hedgeTimer = time.startTimer(delay, () => this.sendNext());
  }

  private onAnswer(answer: WholeAnswer): void {
    if (this.isOver) return;
    this.parts.crashes.noteCompleted(this.context);
    const isError = answer.status >= SERVER_ERROR;
    if (!isError || !this.isRepeatable) {
      this.finish(() => this.reply.send(answer));
      return;
    }
    this.lastAnswer = answer;
    if (this.mayRunAgain) this.sendNext();
    if (this.running.size === 0) this.finish(() => this.reply.send(answer));
  }

  private onFailure(target: Target, failure: SendFailure, sentAt: clock.Milliseconds): void {
    if (this.isOver) return;
    if (failure.kind === sendFailures.SEND_FAILURES.LOST) {
      if (failure.isDisconnect) this.parts.crashes.noteDeath(this.context, target, sentAt);
    } else {
      this.runs -= 1;
    }
    if (this.mayRunAgain) {
      this.sendNext();
      return;
    }
    if (this.running.size > 0) return;
    if (this.lastAnswer !== undefined) {
      const answer = this.lastAnswer;
      this.finish(() => this.reply.send(answer));
    } else {
      this.fail('target-failed', failure.reason);
    }
  }

  /** All targets were full or out of reach: they are asked again while there is time. */
  private waitForRoom(): void {
    const { clock: time } = this.parts;
    const { call, deadline } = this.context;
    const latest = call.receivedAt + ASKING_SHARE * (deadline - call.receivedAt);
    if (time.now() + FULL_PAUSE_MS > latest) {
      this.giveUp();
      return;
    }
    time.startTimer(FULL_PAUSE_MS, () => {
      this.tried.clear();
      this.sendNext();
    });
  }

  private giveUp(): void {
    if (this.runs > 0) {
      this.fail('target-failed', 'No further target is left.');
      return;
    }
    const overrides = { run: errors.RUN_STATES.NOT_RUN, retryAfterMs: COME_BACK_MS };
    this.finish(() =>
      this.reply.refuse(errors.createFault('target-unavailable', undefined, overrides)),
    );
  }

  private onDeadline(): void {
    if (this.runs === 0) this.finish(() => this.reply.refuse(waitBounds.refusalOfLate()));
    else this.fail('deadline-exceeded', 'The time of the request is over.');
  }

  /** A call that must not be repeated runs on: its effect is wanted once it has begun. */
  private onCallerGone(): void {
    if (this.isRepeatable || this.running.size === 0) this.finish(() => undefined);
  }

  private fail(kind: errors.ErrorKind, message: string): void {
    this.finish(() => this.reply.refuse(errors.createFault(kind, message)));
  }

  private finish(answer: () => void): void {
    if (this.isOver) return;
    this.isOver = true;
    this.timer?.cancel();
    this.hedgeTimer?.cancel();
    this.running.forEach((exchange) => exchange.abort());
    this.running.clear();
    answer();
    this.resolve();
  }
}
