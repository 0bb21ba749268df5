import type * as clock from '@limpettack/clock';
import type * as logging from '@limpettack/logging';
import * as sendFailures from './SendFailures.js';
import type * as targetScores from './TargetScores.js';
import type {
  ResponseHandler,
  ResponseHead,
  Exchange,
  SendFailure,
  Target,
  TargetRequest,
  TargetTransport,
} from './Types.js';

const SERVER_ERROR = 500;

/** Dependencies of the sender. */
export interface TargetSenderOptions {
  readonly transport: TargetTransport;
  readonly scores: targetScores.TargetScores;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** A request in flight whose outcome is recorded in the scores of its target. */
export interface SentCall extends Exchange {
  /**
   * Cancels the request and records a failure of the target, which is late or sends an invalid
   * response.
   */
  abandon(): void;
}

/** Sends requests and records in the scores how the targets handle them. */
export class TargetSender {
  public constructor(private readonly options: TargetSenderOptions) {}

  public send(target: Target, request: TargetRequest, handler: ResponseHandler): SentCall {
    const { clock: time, scores, transport } = this.options;
    const sentAt = time.now();
    let hasEnded = false;
    let hasData = false;
    let isError = false;
    const finish = (): void => {
      if (!hasEnded) scores.recordDone(target.id);
      hasEnded = true;
    };
    scores.recordSent(target.id);
    const exchange = transport.send(target, request, {
      onHead: (head: ResponseHead) => {
        // Error responses are recorded as failures too, because an otherwise healthy target may
        // fail part of its requests.
        isError = head.status >= SERVER_ERROR;
        if (isError) scores.recordFailure(target.id);
        handler.onHead(head);
      },
      onData: (chunk: Uint8Array) => {
        if (!hasData && !isError) scores.recordFirstData(target.id, time.now() - sentAt);
        hasData = true;
        handler.onData(chunk);
      },
      onEnd: () => {
        finish();
        handler.onEnd();
      },
      onFailure: (failure: SendFailure) => {
        finish();
        this.recordFailure(target, request, failure);
        handler.onFailure(failure);
      },
    });
    const abort = (): void => {
      finish();
      exchange.abort();
    };
    const abandon = (): void => {
      if (!hasEnded) scores.recordFailure(target.id);
      abort();
    };
    return { abort, abandon };
  }

  private recordFailure(target: Target, request: TargetRequest, failure: SendFailure): void {
    const { logger, scores } = this.options;
    if (failure.kind === sendFailures.SEND_FAILURES.NOT_RUN) scores.recordFull(target.id);
    else scores.recordFailure(target.id);
    logger.warn('A request to a target failed.', {
      request: request.id,
      target: target.id,
      kind: failure.kind,
      reason: failure.reason,
      spanMs: Math.round(request.timeLeftMs),
    });
  }
}
