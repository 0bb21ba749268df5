import type * as errors from '@limpettack/errors';
import type * as metrics from '@limpettack/metrics';
import type { AnswerHead, Reply, WholeAnswer } from './Types.js';

/** How a call has ended, for the logs and the metrics. */
export interface ReplyOutcome {
  readonly outcome: metrics.CallOutcome;
  /** The kind of the fault, or `answered`, `broken-off` or `no-answer`. */
  readonly kind: string;
  readonly reason: string;
}

const SERVER_ERROR = 500;

/** Passes an answer on and notes how it ended. */
export class ObservedReply implements Reply {
  private noted: ReplyOutcome = {
    outcome: 'abandoned',
    kind: 'no-answer',
    reason: 'the caller has gone',
  };

  public constructor(
    private readonly reply: Reply,
    private readonly onStart: () => void,
  ) {}

  public get result(): ReplyOutcome {
    return this.noted;
  }

  /** @inheritdoc */
  public get hasStarted(): boolean {
    return this.reply.hasStarted;
  }

  /** @inheritdoc */
  public refuse(fault: errors.Fault): void {
    const outcome = fault.run === 'not-run' ? 'refused' : 'failed';
    this.noted = { outcome, kind: fault.kind, reason: fault.message };
    this.reply.refuse(fault);
  }

  /** @inheritdoc */
  public send(answer: WholeAnswer): void {
    const outcome = answer.status < SERVER_ERROR ? 'finished' : 'failed';
    this.noted = { outcome, kind: 'answered', reason: `status ${answer.status}` };
    this.reply.send(answer);
  }

  /** @inheritdoc */
  public start(head: AnswerHead): void {
    this.onStart();
    this.reply.start(head);
  }

  /** @inheritdoc */
  public write(chunk: Uint8Array): void {
    this.reply.write(chunk);
  }

  /** @inheritdoc */
  public end(): void {
    this.noted = { outcome: 'finished', kind: 'answered', reason: 'stream complete' };
    this.reply.end();
  }

  /** @inheritdoc */
  public breakOff(): void {
    this.noted = { outcome: 'failed', kind: 'broken-off', reason: 'stream not complete' };
    this.reply.breakOff();
  }
}
