import * as clock from '@limpettack/clock';
import * as responseBodies from './ResponseBody.js';
import * as eventParsers from './ServerSentEventParser.js';
import * as connections from './TargetConnection.js';

/** Outcomes of one step of a stream, which waits for the response head or for one event. */
export const STREAM_STEPS = {
  /** The response head was received. */
  ANSWERED: 'answered',
  EVENT: 'event',
  /** Nothing was received within the time limit. */
  STALLED: 'stalled',
  /** The connection failed. */
  BROKEN: 'broken',
  /** The target ended the response. */
  ENDED: 'ended',
  CANCELLED: 'cancelled',
} as const;

const { ANSWERED, BROKEN, CANCELLED, ENDED, EVENT, STALLED } = STREAM_STEPS;

/** Maximum size of an event, in characters. */
const MAXIMUM_EVENT_LENGTH = 8 * 1_024 * 1_024;

/** Number of characters after which no more of the body of an error response is read. */
const ERROR_TEXT_LIMIT = 64 * 1_024;

/** A step that ended without a response head or an event. */
export interface TerminalStep {
  readonly kind: typeof STALLED | typeof BROKEN | typeof ENDED | typeof CANCELLED;
}

/** A received response head. */
export interface ResponseHeadStep {
  readonly kind: typeof ANSWERED;
  readonly status: number;
}

/** A received event. */
export interface EventStep {
  readonly kind: typeof EVENT;
  readonly event: eventParsers.ServerSentEvent;
}

/** A request on its own connection whose response is a stream of server-sent events. */
export class EventStream {
  private readonly connection: connections.TargetConnection;

  private readonly parser = new eventParsers.ServerSentEventParser();

  private readonly decoder = new TextDecoder();

  private readonly parsedEvents: eventParsers.ServerSentEvent[] = [];

  private body: responseBodies.ResponseBody | undefined;

  /** Cancels the current step; undefined while there is none. */
  private cancelStep: (() => void) | undefined;

  /** Ends the current step at its time limit. */
  private limitTimer: clock.Timer | undefined;

  private isAbandoned = false;

  public constructor(
    url: string,
    connectMs: clock.Milliseconds,
    private readonly time: clock.Clock,
    private readonly signal: AbortSignal,
  ) {
    this.connection = new connections.TargetConnection(url, connectMs);
    signal.addEventListener('abort', () => this.cancelStep?.(), { once: true });
  }

  /** Whether bytes of the request may have been written. */
  public get mayHaveSent(): boolean {
    return this.connection.mayHaveSent;
  }

  /** Sends the request and waits for the response head. */
  public open(
    request: connections.TargetRequest,
    limitMs: clock.Milliseconds,
  ): Promise<ResponseHeadStep | TerminalStep> {
    return this.race(limitMs, this.receiveHead(request));
  }

  /** Waits for the next event. */
  public async next(limitMs: clock.Milliseconds): Promise<EventStep | TerminalStep> {
    const event = this.signal.aborted ? undefined : this.parsedEvents.shift();
    if (event) return { kind: EVENT, event };
    return this.race(limitMs, this.receiveEvent());
  }

  /** Reads the text of an error response, truncated. Empty if the read fails or takes too long. */
  public async errorText(limitMs: clock.Milliseconds): Promise<string> {
    const text = this.readErrorText().catch(() => '');
    const result = await clock.withTimeout(this.time, limitMs, text);
    return result === clock.TIMED_OUT ? '' : result;
  }

  /** Treats the connection as stalled immediately, without waiting for the time limit. */
  public abandon(): void {
    this.isAbandoned = true;
    this.connection.close();
  }

  /** Closes the connection. */
  public close(): void {
    this.connection.close();
  }

  /** Waits for a step until the time limit passes or the call is cancelled. */
  private race<Step>(
    limitMs: clock.Milliseconds,
    work: Promise<Step>,
  ): Promise<Step | TerminalStep> {
    return new Promise((resolve) => {
      const finish = (step: Step | TerminalStep): void => {
        this.limitTimer?.cancel();
        this.cancelStep = undefined;
        resolve(step);
      };
      this.limitTimer = this.time.startTimer(Math.max(0, limitMs), () => finish({ kind: STALLED }));
      this.cancelStep = () => finish({ kind: CANCELLED });
      work.then(finish, () => finish({ kind: this.isAbandoned ? STALLED : BROKEN }));
      if (this.signal.aborted) this.cancelStep();
    });
  }

  private async receiveHead(request: connections.TargetRequest): Promise<ResponseHeadStep> {
    const response = await this.connection.send(request);
    this.body = new responseBodies.ResponseBody(response.body);
    return { kind: ANSWERED, status: response.statusCode };
  }

  private async receiveEvent(): Promise<EventStep | TerminalStep> {
    for (;;) {
      const event = this.parsedEvents.shift();
      if (event) return { kind: EVENT, event };
      const piece = await this.body?.next();
      if (!piece) return { kind: ENDED };
      this.parsedEvents.push(...this.parser.push(this.decoder.decode(piece, { stream: true })));
      if (this.parser.bufferedLength > MAXIMUM_EVENT_LENGTH) return { kind: BROKEN };
    }
  }

  private async readErrorText(): Promise<string> {
    let text = '';
    for (;;) {
      const piece = await this.body?.next();
      if (!piece || text.length > ERROR_TEXT_LIMIT) return text;
      text += this.decoder.decode(piece, { stream: true });
    }
  }
}
