import type * as clock from '@limpettack/clock';
import type * as logging from '@limpettack/logging';
import * as sendFailures from './SendFailures.js';
import type * as targetScores from './TargetScores.js';
import type {
  AnswerHandler,
  AnswerHead,
  Exchange,
  SendFailure,
  Target,
  TargetRequest,
  TargetTransport,
} from './Types.js';

const SERVER_ERROR = 500;

/** What the sender needs. */
export interface TargetSenderOptions {
  readonly transport: TargetTransport;
  readonly scores: targetScores.TargetScores;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** A request on its way to a target of which score is kept. */
export interface SentCall extends Exchange {
  /** Gives the request up because the target is silent, which counts like a failure. */
  giveUp(): void;
}

/** Sends requests and keeps score of how their targets serve them. */
export class TargetSender {
  public constructor(private readonly options: TargetSenderOptions) {}

  public send(target: Target, request: TargetRequest, handler: AnswerHandler): SentCall {
    const { clock: time, scores, transport } = this.options;
    const sentAt = time.now();
    let isOver = false;
    let hasBegun = false;
    let isError = false;
    const finish = (): void => {
      if (!isOver) scores.noteDone(target.id);
      isOver = true;
    };
    scores.noteSent(target.id);
    const exchange = transport.send(target, request, {
      onHead: (head: AnswerHead) => {
        // Health says little of a target that fails part of its work; what it answers does.
        isError = head.status >= SERVER_ERROR;
        if (isError) scores.noteFailure(target.id);
        handler.onHead(head);
      },
      onData: (chunk: Uint8Array) => {
        if (!hasBegun && !isError) scores.noteFirst(target.id, time.now() - sentAt);
        hasBegun = true;
        handler.onData(chunk);
      },
      onEnd: () => {
        finish();
        handler.onEnd();
      },
      onFailure: (failure: SendFailure) => {
        finish();
        this.noteFailure(target, request, failure);
        handler.onFailure(failure);
      },
    });
    const abort = (): void => {
      finish();
      exchange.abort();
    };
    const giveUp = (): void => {
      if (!isOver) scores.noteFailure(target.id);
      abort();
    };
    return { abort, giveUp };
  }

  private noteFailure(target: Target, request: TargetRequest, failure: SendFailure): void {
    const { logger, scores } = this.options;
    if (failure.kind === sendFailures.SEND_FAILURES.NOT_RUN) scores.noteFull(target.id);
    else scores.noteFailure(target.id);
    logger.warn('A target did not answer.', {
      request: request.id,
      target: target.id,
      kind: failure.kind,
      reason: failure.reason,
      spanMs: Math.round(request.timeLeftMs),
    });
  }
}
