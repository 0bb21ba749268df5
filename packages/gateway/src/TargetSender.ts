import type * as clock from '@limpettack/clock';
import type * as logging from '@limpettack/logging';
import * as sendFailures from './SendFailures.js';
import type * as responseMeasurement from './ResponseMeasurement.js';
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

/** The exchange of a request that could not be sent. */
const NOTHING_SENT: Exchange = {
  abort: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};

/** Measures the responses of targets. */
export interface ResponseRecorder {
  /** Starts to measure the response to a request that is being sent. */
  begin(request: TargetRequest): responseMeasurement.ResponseMeasurement | undefined;
  /** Records a response that has ended normally. */
  record(target: Target, measurement: responseMeasurement.ResponseMeasurement): void;
}

/** Dependencies of the sender. */
export interface TargetSenderOptions {
  readonly transport: TargetTransport;
  readonly scores: targetScores.TargetScores;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Without it, responses are not measured. */
  readonly recorder?: ResponseRecorder | undefined;
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
    const { clock: time, recorder, scores } = this.options;
    const sentAt = time.now();
    let hasEnded = false;
    let hasData = false;
    let isError = false;
    const finish = (): void => {
      if (!hasEnded) scores.recordDone(target.id);
      hasEnded = true;
    };
    scores.recordSent(target.id);
    const measurement = recorder?.begin(request);
    const targetHandler: ResponseHandler = {
      onHead: (head: ResponseHead) => {
        // Error responses are recorded as failures too, because an otherwise healthy target may
        // fail part of its requests.
        isError = head.status >= SERVER_ERROR;
        if (isError) scores.recordFailure(target.id);
        measurement?.recordHead(head.status);
        handler.onHead(head);
      },
      onData: (chunk: Uint8Array) => {
        if (!hasData && !isError) scores.recordFirstData(target.id, time.now() - sentAt);
        hasData = true;
        measurement?.recordChunk();
        handler.onData(chunk);
      },
      onEnd: () => {
        finish();
        if (measurement !== undefined) recorder?.record(target, measurement);
        handler.onEnd();
      },
      onFailure: (failure: SendFailure) => {
        if (hasEnded) return;
        finish();
        this.recordFailure(target, request, failure);
        handler.onFailure(failure);
      },
    };
    const exchange = this.trySend(target, request, targetHandler);
    const abort = (): void => {
      finish();
      exchange.abort();
    };
    const abandon = (): void => {
      if (!hasEnded) scores.recordFailure(target.id);
      abort();
    };
    const pause = (): void => {
      measurement?.recordPause();
      exchange.pause();
    };
    const resume = (): void => exchange.resume();
    return { abort, abandon, pause, resume };
  }

  /**
   * Sends a request. If the transport throws or fails at once, for example because it cannot use
   * the target's address, the failure is reported after the exchange has been returned.
   */
  private trySend(target: Target, request: TargetRequest, handler: ResponseHandler): Exchange {
    let isReturned = false;
    const onFailure = (failure: SendFailure): void => {
      if (isReturned) handler.onFailure(failure);
      else queueMicrotask(() => handler.onFailure(failure));
    };
    try {
      return this.options.transport.send(target, request, { ...handler, onFailure });
    } catch (error) {
      const kind = sendFailures.SEND_FAILURES.NOT_SENT;
      onFailure({ kind, reason: String(error), isDisconnect: false });
      return NOTHING_SENT;
    } finally {
      isReturned = true;
    }
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
