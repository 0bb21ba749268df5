import type * as errors from '@limpettack/errors';
import type * as metrics from '@limpettack/metrics';
import type { ResponseHead, Reply, CompleteResponse } from './Types.js';

/** How a call ended, for logs and metrics. */
export interface ReplyOutcome {
  readonly outcome: metrics.CallOutcome;
  /** The kind of the fault, or `answered`, `broken-off` or `no-answer`. */
  readonly kind: string;
  readonly reason: string;
}

const SERVER_ERROR = 500;

/** Passes a response on and records how it ended. */
export class ObservedReply implements Reply {
  private recordedOutcome: ReplyOutcome = {
    outcome: 'abandoned',
    kind: 'no-answer',
    reason: 'the caller disconnected',
  };

  public constructor(
    private readonly reply: Reply,
    private readonly onStart: () => void,
  ) {}

  public get result(): ReplyOutcome {
    return this.recordedOutcome;
  }

  /** @inheritdoc */
  public get hasStarted(): boolean {
    return this.reply.hasStarted;
  }

  /** @inheritdoc */
  public refuse(fault: errors.Fault): void {
    const outcome = fault.run === 'not-run' ? 'refused' : 'failed';
    this.recordedOutcome = { outcome, kind: fault.kind, reason: fault.message };
    this.reply.refuse(fault);
  }

  /** @inheritdoc */
  public reserve(bytes: number): boolean {
    return this.reply.reserve(bytes);
  }

  /** @inheritdoc */
  public send(response: CompleteResponse): void {
    const outcome = response.status < SERVER_ERROR ? 'finished' : 'failed';
    this.recordedOutcome = { outcome, kind: 'answered', reason: `status ${response.status}` };
    this.reply.send(response);
  }

  /** @inheritdoc */
  public start(head: ResponseHead): void {
    this.onStart();
    this.reply.start(head);
  }

  /** @inheritdoc */
  public write(chunk: Uint8Array): void {
    this.reply.write(chunk);
  }

  /** @inheritdoc */
  public awaitReader(): Promise<void> | undefined {
    return this.reply.awaitReader();
  }

  /** @inheritdoc */
  public end(): void {
    this.recordedOutcome = { outcome: 'finished', kind: 'answered', reason: 'stream complete' };
    this.reply.end();
  }

  /** @inheritdoc */
  public abort(): void {
    this.recordedOutcome = { outcome: 'failed', kind: 'broken-off', reason: 'stream not complete' };
    this.reply.abort();
  }
}
