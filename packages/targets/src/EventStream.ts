import * as clock from '@limpettack/clock';
import * as eventParsers from './ServerSentEventParser.js';
import * as connections from './TargetConnection.js';

/** How a step of a stream went. */
export const STREAM_STEPS = {
  /** The head of the answer came. */
  ANSWERED: 'answered',
  EVENT: 'event',
  /** Nothing came within the time limit. */
  STALLED: 'stalled',
  /** The connection failed. */
  BROKEN: 'broken',
  /** The target ended the answer. */
  ENDED: 'ended',
  CANCELLED: 'cancelled',
} as const;

const { ANSWERED, BROKEN, CANCELLED, ENDED, EVENT, STALLED } = STREAM_STEPS;

/** The largest event, in characters. */
const MAXIMUM_EVENT_LENGTH = 8 * 1_024 * 1_024;

/** The largest body of an error answer that is read, in bytes. */
const MAXIMUM_ERROR_BYTES = 64 * 1_024;

/** A step that brought nothing. */
export interface LostStep {
  readonly kind: typeof STALLED | typeof BROKEN | typeof ENDED | typeof CANCELLED;
}

/** The head of an answer. */
export interface AnsweredStep {
  readonly kind: typeof ANSWERED;
  readonly status: number;
}

/** One event. */
export interface EventStep {
  readonly kind: typeof EVENT;
  readonly event: eventParsers.ServerSentEvent;
}

/** A request on a connection of its own whose answer is a stream of server-sent events. */
export class EventStream {
  private readonly connection: connections.TargetConnection;

  private readonly parser = new eventParsers.ServerSentEventParser();

  private readonly decoder = new TextDecoder();

  private readonly ready: eventParsers.ServerSentEvent[] = [];

  private pieces: AsyncIterator<Buffer> | undefined;

  /** Ends the step that is waited for; nothing while none is. */
  private cancelStep: (() => void) | undefined;

  /** Runs while a step is waited for. */
  private limit: clock.Timer | undefined;

  private abandoned = false;

  public constructor(
    url: string,
    connectMs: clock.Milliseconds,
    private readonly time: clock.Clock,
    private readonly signal: AbortSignal,
  ) {
    this.connection = new connections.TargetConnection(url, connectMs);
    signal.addEventListener('abort', () => this.cancelStep?.(), { once: true });
  }

  /** False as long as no byte of the request can have been written. */
  public get mayHaveSent(): boolean {
    return this.connection.mayHaveSent;
  }

  /** Sends the request and waits for the head of the answer. */
  public open(
    request: connections.TargetRequest,
    limitMs: clock.Milliseconds,
  ): Promise<AnsweredStep | LostStep> {
    return this.race(limitMs, this.receiveHead(request));
  }

  /** Waits for the next event. */
  public async next(limitMs: clock.Milliseconds): Promise<EventStep | LostStep> {
    const event = this.signal.aborted ? undefined : this.ready.shift();
    if (event) return { kind: EVENT, event };
    return this.race(limitMs, this.receiveEvent());
  }

  /** The text of an error answer, shortened; empty when it does not come in time. */
  public async errorText(limitMs: clock.Milliseconds): Promise<string> {
    const text = this.readErrorText().catch(() => '');
    const answer = await clock.within(this.time, limitMs, text);
    return answer === clock.LIMIT_PASSED ? '' : answer;
  }

  /** Takes the connection as stalled at once, without waiting for a time limit. */
  public abandon(): void {
    this.abandoned = true;
    this.connection.close();
  }

  /** Closes the connection. */
  public close(): void {
    this.connection.close();
  }

  /** Waits for a step until the limit passes or the call is cancelled. */
  private race<Step>(limitMs: clock.Milliseconds, work: Promise<Step>): Promise<Step | LostStep> {
    return new Promise((resolve) => {
      const finish = (step: Step | LostStep): void => {
        this.limit?.cancel();
        this.cancelStep = undefined;
        resolve(step);
      };
      this.limit = this.time.startTimer(Math.max(0, limitMs), () => finish({ kind: STALLED }));
      this.cancelStep = () => finish({ kind: CANCELLED });
      work.then(finish, () => finish({ kind: this.abandoned ? STALLED : BROKEN }));
      if (this.signal.aborted) this.cancelStep();
    });
  }

  private async receiveHead(request: connections.TargetRequest): Promise<AnsweredStep> {
    const response = await this.connection.send(request);
    this.pieces = (response.body as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
    return { kind: ANSWERED, status: response.statusCode };
  }

  private async receiveEvent(): Promise<EventStep | LostStep> {
    for (;;) {
      const event = this.ready.shift();
      if (event) return { kind: EVENT, event };
      const piece = await this.pieces?.next();
      if (!piece || piece.done) return { kind: ENDED };
      this.ready.push(...this.parser.push(this.decoder.decode(piece.value, { stream: true })));
      if (this.parser.heldLength > MAXIMUM_EVENT_LENGTH) return { kind: BROKEN };
    }
  }

  private async readErrorText(): Promise<string> {
    let text = '';
    for (;;) {
      const piece = await this.pieces?.next();
      if (!piece || piece.done || text.length > MAXIMUM_ERROR_BYTES) return text;
      text += this.decoder.decode(piece.value, { stream: true });
    }
  }
}
